package redwingcross.version.placement

import redwingcross.request.Transition
import redwingcross.request.Vm
import redwingcross.request.with
import kotlin.time.Duration

private typealias Step = Transition<PlacementState, PlacementEffect>

/**
 * Decides the placement of one zone under the zone's lease.
 *
 * A new holder first writes the placement that it read again under its own epoch. Only one of that write and a write
 * of the former holder that is still under way can take effect. Orders follow only from a placement whose write is
 * confirmed, and a pair of group and generation stands for the same members forever; so a late order can make a group
 * incomplete, but never mixed.
 */
object PlacementDecision {
    fun step(state: PlacementState, message: PlacementMessage, now: Duration): Step = when (message) {
        PlacementMessage.Tick -> act(state, now)
        is PlacementMessage.ControlChanged -> state.copy(control = message.control).with()
        is PlacementMessage.LeavingChanged -> state.copy(leaving = message.leaving).with()
        is PlacementMessage.LeaseAcquired -> state.holding(message, now).with()
        is PlacementMessage.LeaseExtended -> state.copy(hold = state.hold?.copy(validUntil = message.until)).with()
        PlacementMessage.LeaseLost -> state.released().with()
        is PlacementMessage.CallEnded ->
            if (state.call == message.call) ended(state.copy(call = null), message, now) else state.with()
        is PlacementMessage.ReportArrived ->
            state.viewing(message.vm) { it.heard(message.report, message.requestedAt) }.with()
        is PlacementMessage.ReportMissed -> state.viewing(message.vm) { it.missed(message.requestedAt) }.with()
        is PlacementMessage.OrderAnswered -> orderAnswered(state, message)
    }

    private fun ended(state: PlacementState, message: PlacementMessage.CallEnded, now: Duration): Step =
        when (message) {
            is PlacementMessage.ReadAnswered -> act(state.read(message.stored, now), now)
            is PlacementMessage.Written -> act(state.confirmed(message.version), now)
            is PlacementMessage.Conflict, is PlacementMessage.CallFailed, is PlacementMessage.OutcomeUnknown ->
                state.unknown().pausing(now).with()
        }

    private fun act(state: PlacementState, now: Duration): Step {
        val hold = state.hold
        val claimed = state.claimed
        return when {
            hold == null || now >= hold.validUntil -> state.with()
            state.call != null || now < state.nextCallAt -> state.with()
            state.stored == null && !state.absent -> read(state)
            state.pending != null -> write(state, state.pending)
            claimed == null -> write(state, state.claim(hold))
            else -> reconcile(state, claimed, hold, now)
        }
    }

    private fun reconcile(state: PlacementState, placement: Placement, hold: Hold, now: Duration): Step {
        val planned = GroupPlan(state, placement, now).next()
        return if (planned == null) {
            val orders = OrderPlan(state, placement, hold, now).orders()
            val sent = orders.associate { it.vm to SentOrder(it.assignment, now) }
            Transition(state.copy(orders = state.orders + sent), orders.map(PlacementEffect::OrderEngine))
        } else {
            val nonce = "${state.incarnation}-${state.calls + 1}"
            write(state, PendingPlacement(state.stored?.version, planned.copy(nonce = nonce)))
        }
    }

    private fun read(state: PlacementState): Step {
        val call = state.calls + 1
        return state.copy(call = call, calls = call).with(PlacementEffect.ReadPlacement(call))
    }

    private fun write(state: PlacementState, pending: PendingPlacement): Step {
        val call = state.calls + 1
        val next = state.copy(call = call, calls = call, pending = pending)
        return next.with(PlacementEffect.WritePlacement(call, pending.expected, pending.placement))
    }

    private fun PlacementState.claim(hold: Hold): PendingPlacement {
        val nonce = "$incarnation-${calls + 1}"
        val current = stored?.placement ?: Placement(zone, hold.epoch, emptyList(), nonce)
        return PendingPlacement(stored?.version, current.copy(epoch = hold.epoch, nonce = nonce))
    }

    private fun PlacementState.holding(message: PlacementMessage.LeaseAcquired, now: Duration): PlacementState {
        val wait = if (message.former) settings.leaseDuration + settings.maxOrderDelay else Duration.ZERO
        return released().copy(hold = Hold(message.epoch, unfencedFrom = now + wait), nextCallAt = now)
    }

    /** Forgets everything that was learned under the lease; reports stay, because they are asked for without it. */
    private fun PlacementState.released(): PlacementState =
        copy(hold = null, stored = null, absent = false, pending = null, call = null, orders = emptyMap())

    private fun PlacementState.unknown(): PlacementState = copy(stored = null, absent = false)

    private fun PlacementState.confirmed(version: PlacementVersion): PlacementState {
        val written = pending ?: return this
        return copy(stored = StoredPlacement(version, written.placement), absent = false, pending = null)
    }

    private fun PlacementState.read(found: StoredPlacement?, now: Duration): PlacementState {
        val write = pending
        return when {
            // The pending write took effect.
            found != null && found.placement.nonce == write?.placement?.nonce -> copy(stored = found, pending = null)
            // The pending write may still take effect; writing the same again over the same version is safe.
            write != null && found?.version == write.expected -> copy(stored = found, absent = found == null)
            // A read that is older than the write's base, or a store without the object.
            write?.expected != null && (found == null || found.version < write.expected) -> pausing(now)
            // A newer holder has written; the lease is lost or about to be found lost.
            found != null && hold != null && found.placement.epoch > hold.epoch -> pausing(now)
            else -> copy(stored = found, absent = found == null, pending = null)
        }
    }

    private fun orderAnswered(state: PlacementState, message: PlacementMessage.OrderAnswered): Step {
        val hold = state.hold
        return when (val result = message.result) {
            is OrderResult.Fenced ->
                if (hold != null && result.highest > hold.epoch) {
                    state.with(PlacementEffect.RecheckLease(hold.epoch))
                } else {
                    state.with()
                }
            OrderResult.Accepted, is OrderResult.Failed -> state.with()
        }
    }

    private fun PlacementState.viewing(vm: Vm, next: (MemberView) -> MemberView): PlacementState =
        copy(views = views + (vm to next(views[vm] ?: MemberView())))

    private fun PlacementState.pausing(now: Duration) = copy(nextCallAt = now + settings.retryInterval)
}
