package redwingcross.version.routing

import redwingcross.request.NotRunReason
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.request.admission.EnqueueResult
import redwingcross.request.admission.FairQueue
import redwingcross.request.admission.WaitingRequest
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.version.control.ControlView
import kotlin.time.Duration

/**
 * Assigns waiting requests to slots of backend servers, and refuses those that can't be served with a [NotRunReason].
 */
class Router(private val gateway: ProcessName, private val settings: RouterSettings) {
    /** Initial state of a gateway process. */
    fun initial(): RouterState = RouterState(RoutingTable(gateway, settings), FairQueue(settings.queueLimit))

    /**
     * Handles [message], refuses waiting requests that can't be served any more, and grants free slots. [now] is a
     * reading of the process clock.
     */
    fun step(state: RouterState, message: RouterMessage, now: Duration): Transition<RouterState, RouterEffect> {
        val handled = handle(state, message, now)
        val remaining = refuseUnservable(handled.state, now)
        val served = grantAll(remaining.state, now)
        return Transition(served.state, handled.effects + remaining.effects + served.effects)
    }

    private fun handle(
        state: RouterState,
        message: RouterMessage,
        now: Duration,
    ): Transition<RouterState, RouterEffect> = when (message) {
        is RouterMessage.Acquire -> acquire(state, message, now)
        is RouterMessage.Withdraw ->
            Transition(state.copy(queue = state.queue.removeAll { it.ticket == message.ticket }.queue))
        is RouterMessage.Release -> release(state, message, now)
        is RouterMessage.StatusReceived -> {
            val statuses = state.table.statuses.receive(message.status, message.publishedAt, now, settings)
            Transition(state.copy(table = state.table.statusReceived(statuses)))
        }
        is RouterMessage.ControlChanged -> Transition(controlChanged(state, message.view))
        is RouterMessage.ColdReported -> Transition(state.copy(table = state.table.coldReported(message.report, now)))
        RouterMessage.Tick -> Transition(state)
    }

    private fun acquire(
        state: RouterState,
        message: RouterMessage.Acquire,
        now: Duration,
    ): Transition<RouterState, RouterEffect> {
        val request = message.request
        val reason = when {
            !state.table.control.isFresh(now) -> NotRunReason.STALE_VIEW
            !state.table.canAdmit(now) || !state.table.hasService(request.service) -> NotRunReason.NO_BACKEND_SERVER
            now >= request.deadline -> NotRunReason.DEADLINE_EXCEEDED
            else -> null
        }
        val waiting = WaitingRequest(message.ticket, request, now)
        if (reason != null) return refuse(state, listOf(waiting), reason)
        return when (val offered = state.queue.offer(waiting, state.table.index.limitsOf(request.customer))) {
            is EnqueueResult.Full -> refuse(state, listOf(waiting), NotRunReason.QUEUE_FULL)
            is EnqueueResult.Queued ->
                refuse(state.copy(queue = offered.queue), listOfNotNull(offered.evicted), NotRunReason.QUEUE_FULL)
        }
    }

    private fun release(
        state: RouterState,
        message: RouterMessage.Release,
        now: Duration,
    ): Transition<RouterState, RouterEffect> {
        val heldSlot = state.held[message.slot] ?: return Transition(state)
        val handled = state.table.released(heldSlot.slot, message.result, now)
        return Transition(
            state.release(heldSlot).copy(table = handled.state),
            handled.effects.map { RouterEffect.ReportCold(it) },
        )
    }

    private fun controlChanged(state: RouterState, view: ControlView): RouterState {
        val table = state.table.controlChanged(view)
        return state.copy(table = table, customers = state.customers.filterKeys(table.index::isKnown))
    }

    /** Refuses waiting requests whose deadline has passed, whose service has no server, or all if the view is stale. */
    private fun refuseUnservable(state: RouterState, now: Duration): Transition<RouterState, RouterEffect> {
        if (state.queue.size == 0) return Transition(state)
        if (!state.table.control.isFresh(now)) return refuseAll(state, NotRunReason.STALE_VIEW) { true }
        val expired = refuseAll(state, NotRunReason.DEADLINE_EXCEEDED) { now >= it.request.deadline }
        val unavailable = expired.state.queue.all()
            .filter { now >= it.since + settings.noServerTimeout }
            .map { it.request.service }
            .toSet()
            .filter { service -> expired.state.table.candidates(service, now).none { it.slots > 0 } }
            .toSet()
        val unserved = refuseAll(expired.state, NotRunReason.NO_BACKEND_SERVER) {
            it.request.service in unavailable && now >= it.since + settings.noServerTimeout
        }
        return Transition(unserved.state, expired.effects + unserved.effects)
    }

    private fun refuseAll(
        state: RouterState,
        reason: NotRunReason,
        condition: (WaitingRequest<Ticket>) -> Boolean,
    ): Transition<RouterState, RouterEffect> {
        val taken = state.queue.removeAll(condition)
        return refuse(state.copy(queue = taken.queue), taken.taken, reason)
    }

    private fun refuse(
        state: RouterState,
        refused: List<WaitingRequest<Ticket>>,
        reason: NotRunReason,
    ): Transition<RouterState, RouterEffect> = Transition(
        refused.fold(state) { next, waiting -> next.countRefusal(waiting.request.customer, reason) },
        refused.map { RouterEffect.Refuse(it.ticket, reason, settings.retryAfter) },
    )

    /** Grants slots until no waiting request can be served. */
    private fun grantAll(state: RouterState, now: Duration): Transition<RouterState, RouterEffect> {
        val servers = AvailableServers(state.table, now)
        val effects = mutableListOf<RouterEffect>()
        var next: Transition<RouterState, RouterEffect>? = Transition(state)
        var last = state
        while (next != null) {
            last = next.state
            effects += next.effects
            next = grantOne(last, servers, now)
        }
        return Transition(last, effects)
    }

    /** Grants one slot; null if no waiting request can be served. */
    private fun grantOne(
        state: RouterState,
        servers: AvailableServers,
        now: Duration,
    ): Transition<RouterState, RouterEffect>? {
        // Customers below their share go first; other customers may use the slots that are left.
        val taken =
            state.queue.next { servers.choose(state, it.request) != null && servers.isBelowShare(state, it.request) }
                ?: state.queue.next { servers.choose(state, it.request) != null }
                ?: return null
        val request = taken.taken.request
        val chosen = servers.choose(state, request) ?: return null
        val slot = slotAt(chosen, SlotId(state.nextSlot))
        val granted = state.copy(queue = taken.queue).grant(HeldSlot(slot, request, now))
        return Transition(granted, listOf(RouterEffect.Grant(taken.taken.ticket, slot)))
    }

    private fun slotAt(candidate: Candidate, id: SlotId) = Slot(
        id,
        candidate.server,
        candidate.endpoint,
        candidate.group?.group,
        candidate.group?.generation?.value,
        candidate.group?.incarnation?.value,
    )
}
