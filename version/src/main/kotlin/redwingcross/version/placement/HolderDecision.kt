package redwingcross.version.placement

import redwingcross.request.Transition
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseState
import kotlin.time.Duration

/** A controller's state for one zone: the lease and, while the controller holds it, the placement. */
data class HolderState(val lease: LeaseState, val placement: PlacementState)

/** Input of [HolderDecision]. */
sealed interface HolderMessage {
    /** Time passed; [rank] is the position of this process in the rendezvous order of the zone, from 0. */
    data class Tick(val rank: Int) : HolderMessage

    /** A message for the lease decision. */
    data class OfLease(val message: LeaseMessage) : HolderMessage

    /** A message for the placement decision. */
    data class OfPlacement(val message: PlacementMessage) : HolderMessage
}

/** An action that the owning task carries out. */
sealed interface HolderEffect {
    /** An action of the lease decision. */
    data class OfLease(val effect: LeaseEffect) : HolderEffect

    /** An action of the placement decision. */
    data class OfPlacement(val effect: PlacementEffect) : HolderEffect
}

/** Combines the decisions on the lease and on the placement of a zone and passes lease changes to the placement. */
object HolderDecision {
    /** Computes the next state and effects of [message] at [now]. */
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
