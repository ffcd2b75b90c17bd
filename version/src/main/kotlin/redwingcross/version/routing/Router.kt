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

/** Decides which waiting request goes to which backend server, and which one is refused as not run. */
class Router(private val gateway: ProcessName, private val settings: RouterSettings) {
    /** The state of a gateway that has just started. */
    fun initial(): RouterState = RouterState(RoutingTable(gateway, settings), FairQueue(settings.queueLimit))

    /** One step; [now] is a reading of the process clock. */
    fun step(state: RouterState, message: RouterMessage, now: Duration): Transition<RouterState, RouterEffect> {
        val learned = learn(state, message, now)
        val kept = refuseHopeless(learned.state, now)
        val served = serve(kept.state, now)
        return Transition(served.state, learned.effects + kept.effects + served.effects)
    }

    private fun learn(
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
            !state.table.mayAdmit(now) || !state.table.knows(request.service) -> NotRunReason.NO_BACKEND_SERVER
            now >= request.deadline -> NotRunReason.DEADLINE_EXCEEDED
            else -> null
        }
        val waiting = WaitingRequest(message.ticket, request, now)
        if (reason != null) return refuse(state, listOf(waiting), reason)
        return when (val offered = state.queue.offer(waiting, state.table.index.termsOf(request.customer))) {
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
        val holder = state.held[message.slot] ?: return Transition(state)
        val learned = state.table.released(holder.slot, message.result, now)
        return Transition(
            state.giveBack(holder).copy(table = learned.state),
            learned.effects.map { RouterEffect.ReportCold(it) },
        )
    }

    private fun controlChanged(state: RouterState, view: ControlView): RouterState {
        val table = state.table.controlChanged(view)
        return state.copy(table = table, customers = state.customers.filterKeys(table.index::isKnown))
    }

    /** Refuses the waiting requests that can't be served any more. */
    private fun refuseHopeless(state: RouterState, now: Duration): Transition<RouterState, RouterEffect> {
        if (state.queue.size == 0) return Transition(state)
        if (!state.table.control.isFresh(now)) return refuseAll(state, NotRunReason.STALE_VIEW) { true }
        val late = refuseAll(state, NotRunReason.DEADLINE_EXCEEDED) { now >= it.request.deadline }
        val empty = late.state.queue.all()
            .filter { now >= it.since + settings.emptyWait }
            .map { it.request.service }
            .toSet()
            .filter { service -> late.state.table.candidates(service, now).none { it.slots > 0 } }
            .toSet()
        val lost = refuseAll(late.state, NotRunReason.NO_BACKEND_SERVER) {
            it.request.service in empty && now >= it.since + settings.emptyWait
        }
        return Transition(lost.state, late.effects + lost.effects)
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
    private fun serve(state: RouterState, now: Duration): Transition<RouterState, RouterEffect> {
        val offer = SlotOffer(state.table, now)
        val effects = mutableListOf<RouterEffect>()
        var next: Transition<RouterState, RouterEffect>? = Transition(state)
        var last = state
        while (next != null) {
            last = next.state
            effects += next.effects
            next = serveOne(last, offer, now)
        }
        return Transition(last, effects)
    }

    /** Grants one slot; null if no waiting request can be served. */
    private fun serveOne(state: RouterState, offer: SlotOffer, now: Duration): Transition<RouterState, RouterEffect>? {
        // Customers below their share go first; the others may use what these can't.
        val taken =
            state.queue.next { offer.choose(state, it.request) != null && offer.isBelowShare(state, it.request) }
                ?: state.queue.next { offer.choose(state, it.request) != null }
                ?: return null
        val request = taken.taken.request
        val chosen = offer.choose(state, request) ?: return null
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
