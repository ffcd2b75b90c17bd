package redwingcross.version.placement

import redwingcross.request.Transition
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseState
import kotlin.time.Duration

/** State of one controller with respect to one zone: its lease and, while it holds it, the placement. */
data class HolderState(val lease: LeaseState, val placement: PlacementState)

/** What a controller learns about a zone. */
sealed interface HolderMessage {
    /** Time passed; [rank] is the position of this process in the rendezvous order of the zone, from 0. */
    data class Tick(val rank: Int) : HolderMessage

    data class OfLease(val message: LeaseMessage) : HolderMessage

    data class OfPlacement(val message: PlacementMessage) : HolderMessage
}

/** What the owning task carries out. */
sealed interface HolderEffect {
    data class OfLease(val effect: LeaseEffect) : HolderEffect

    data class OfPlacement(val effect: PlacementEffect) : HolderEffect
}

/** Joins the decisions on the lease and on the placement of a zone. */
object HolderDecision {
    fun step(state: HolderState, message: HolderMessage, now: Duration): Transition<HolderState, HolderEffect> {
        val progress = Progress(state, now)
        when (message) {
            is HolderMessage.OfLease -> progress.lease(message.message)
            is HolderMessage.OfPlacement -> progress.placement(message.message)
            is HolderMessage.Tick -> {
                progress.lease(LeaseMessage.RankChanged(message.rank))
                progress.lease(LeaseMessage.Tick)
                progress.placement(PlacementMessage.Tick)
            }
        }
        return Transition(progress.state, progress.effects)
    }

    private class Progress(var state: HolderState, val now: Duration) {
        val effects = mutableListOf<HolderEffect>()

        fun lease(message: LeaseMessage) {
            val transition = LeaseDecision.step(state.lease, message, now)
            state = state.copy(lease = transition.state)
            transition.effects.forEach { effect ->
                when (effect) {
                    is LeaseEffect.Acquired ->
                        placement(PlacementMessage.LeaseAcquired(effect.epoch, effect.former))
                    is LeaseEffect.Lost -> placement(PlacementMessage.LeaseLost)
                    is LeaseEffect.Read, is LeaseEffect.Write, LeaseEffect.Released -> Unit
                }
                effects += HolderEffect.OfLease(effect)
            }
            placement(PlacementMessage.LeaseExtended(state.lease.validUntil() ?: Duration.ZERO))
        }

        fun placement(message: PlacementMessage) {
            val transition = PlacementDecision.step(state.placement, message, now)
            state = state.copy(placement = transition.state)
            effects += transition.effects.map(HolderEffect::OfPlacement)
            if (transition.effects.any { it is PlacementEffect.RecheckLease }) lease(LeaseMessage.Superseded)
        }
    }
}
