package redwingcross.version.placement

import redwingcross.request.Transition
import redwingcross.request.Vm
import redwingcross.request.with
import kotlin.time.Duration

private typealias Step = Transition<PlacementState, PlacementEffect>

/**
 * Decides the placement of one zone while this process holds the zone's lease.
 *
 * A new holder first rewrites the placement that it read under its own epoch. Of that write and a write of the previous
 * holder that is still in flight, only one can take effect. Orders are derived only from a placement whose write is
 * confirmed, and a pair of group and generation always stands for the same members. Therefore a late order can make a
 * group incomplete, but can never mix the members of two generations.
 */
object PlacementDecision {
    /** Computes the next state and effects of [message] at [now]. */
    fun step(state: PlacementState, message: PlacementMessage, now: Duration): Step = when (message) {
        PlacementMessage.Tick -> act(state, now)
        is PlacementMessage.ControlChanged -> state.copy(control = message.control).with()
        is PlacementMessage.LeavingChanged -> state.copy(leaving = message.leaving).with()
        is PlacementMessage.LeaseAcquired -> state.withLease(message, now).with()
        is PlacementMessage.LeaseExtended -> state.copy(hold = state.hold?.copy(validUntil = message.until)).with()
        PlacementMessage.LeaseLost -> state.released().with()
        is PlacementMessage.CallEnded ->
            if (state.call == message.call) ended(state.copy(call = null), message, now) else state.with()
        is PlacementMessage.ReportArrived ->
            state.withView(message.vm) { it.applyReport(message.report, message.requestedAt) }.with()
        is PlacementMessage.ReportMissed -> state.withView(message.vm) { it.applyMiss(message.requestedAt) }.with()
        is PlacementMessage.OrderAnswered -> orderAnswered(state, message)
    }

    private fun ended(state: PlacementState, message: PlacementMessage.CallEnded, now: Duration): Step =
        when (message) {
            is PlacementMessage.ReadAnswered -> act(state.read(message.stored, now), now)
            is PlacementMessage.Written -> act(state.confirmed(message.version), now)
            is PlacementMessage.Conflict, is PlacementMessage.CallFailed, is PlacementMessage.OutcomeUnknown ->
                state.withUnknownObject().retryLater(now).with()
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

    private fun reconcile(state: PlacementState, placement: Placement, hold: LeaseHold, now: Duration): Step {
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

    private fun PlacementState.claim(hold: LeaseHold): PendingPlacement {
        val nonce = "$incarnation-${calls + 1}"
        val current = stored?.placement ?: Placement(zone, hold.epoch, emptyList(), nonce)
        return PendingPlacement(stored?.version, current.copy(epoch = hold.epoch, nonce = nonce))
    }

    private fun PlacementState.withLease(message: PlacementMessage.LeaseAcquired, now: Duration): PlacementState {
        val wait = if (message.former) settings.leaseDuration + settings.maxOrderDelay else Duration.ZERO
        return released().copy(hold = LeaseHold(message.epoch, unfencedOrdersFrom = now + wait), nextCallAt = now)
    }

    /** Clears all state that belongs to the lease; reports are kept, because they are requested without a lease. */
    private fun PlacementState.released(): PlacementState =
        copy(hold = null, stored = null, absent = false, pending = null, call = null, orders = emptyMap())

    private fun PlacementState.withUnknownObject(): PlacementState = copy(stored = null, absent = false)

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
            // A stale read from before the version that the write expects, or a store that lost the object.
            write?.expected != null && (found == null || found.version < write.expected) -> retryLater(now)
            // A newer holder has written, so this process has lost the lease or will detect its loss soon.
            found != null && hold != null && found.placement.epoch > hold.epoch -> retryLater(now)
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

    private fun PlacementState.withView(vm: Vm, next: (MemberView) -> MemberView): PlacementState =
        copy(views = views + (vm to next(views[vm] ?: MemberView())))

    private fun PlacementState.retryLater(now: Duration) = copy(nextCallAt = now + settings.retryInterval)
}
