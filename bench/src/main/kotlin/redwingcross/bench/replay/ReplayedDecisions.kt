package redwingcross.bench.replay

import redwingcross.request.Transition
import redwingcross.version.admission.AdmissionDecision
import redwingcross.version.admission.AdmissionEffect
import redwingcross.version.admission.AdmissionRequest
import redwingcross.version.admission.AdmissionState
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.OwnDemand
import redwingcross.version.forwarding.EventRate
import redwingcross.version.forwarding.WaitingLine
import redwingcross.version.forwarding.WaitingRequest
import redwingcross.version.forwarding.retryDelay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The decision of a gateway that knows only its own requests, as `WaitingRequests` applies it. */
internal class LocalAdmission(private val actions: ReplayedActions) {
    private var line = WaitingLine<ReplayedRequest>()
    private val freed = EventRate()
    private val refusals = EventRate()

    val functions = ReplayedAdmission(::arrived, ::slotFreed, ::checked, { _, now -> checked(now) })

    fun arrived(request: ReplayedRequest, now: Duration) {
        if (actions.trySend(request, now)) return
        val until = request.arrivedAt + AdmissionReplay.OBJECTIVE - AdmissionReplay.FIRST_EVENT
        val waiting = WaitingRequest(request, "large", 0, false, minOf(until, request.deadline))
        line = line.with(waiting, freed.perSecond(now), now) ?: return refuse(request, now)
    }

    private fun refuse(request: ReplayedRequest, now: Duration) {
        refusals.record(now)
        val delay = retryDelay(refusals.perSecond(now) ?: 0.0, freed.perSecond(now), actions.random.nextDouble())
        actions.refuse(request, delay, now)
    }

    fun slotFreed(now: Duration) {
        freed.record(now)
        checked(now)
    }

    fun checked(now: Duration) {
        line.expired(now).forEach {
            line = line.without(it.task)
            refuse(it.task, now)
        }
        for (request in line.waiting) {
            if (!actions.trySend(request.task, now)) return
            line = line.without(request.task)
        }
    }
}

/** The shared decision, as `SharedWaitingRequests` applies it. */
internal class SharedAdmission(private val actions: ReplayedActions) {
    private val kind = AdmissionReplay.KIND
    private val local = LocalAdmission(actions)
    private var state = AdmissionState<ReplayedRequest>()
    private var view: DemandView? = null
    private var reported = OwnDemand(0, 0, 0)
    private var freed = 0
    private var refused = 0

    val functions = ReplayedAdmission(::arrived, ::slotFreed, ::checked, ::demandChanged, ::report)

    private fun demand(now: Duration) = view?.takeIf { it.isValid(now) }?.kinds?.get(kind)

    private fun arrived(request: ReplayedRequest, now: Duration) {
        val demand = demand(now) ?: return local.arrived(request, now)
        serve(now)
        if (state.queue(kind).inTime.isEmpty() && actions.trySend(request, now)) return
        val inTime = request.arrivedAt + AdmissionReplay.OBJECTIVE - AdmissionReplay.FIRST_EVENT
        val latest = request.deadline - (AdmissionReplay.MEAN_SERVICE * 1.5).seconds
        val waiting = AdmissionRequest(request, kind, null, 0, false, inTime, latest, 0)
        apply(AdmissionDecision.arrived(state, waiting, demand, now), now)
    }

    private fun apply(
        next: Transition<AdmissionState<ReplayedRequest>, AdmissionEffect<ReplayedRequest>>,
        now: Duration,
    ) {
        state = next.state
        for (effect in next.effects) {
            val request = (effect as AdmissionEffect.Refuse).request.task
            refused++
            val random = actions.random.nextDouble()
            val delay = demand(now)?.let { AdmissionDecision.retryDelay(it, request.deadline - now, random) }
            actions.refuse(request, delay ?: 500.milliseconds, now)
        }
    }

    private fun slotFreed(now: Duration) {
        freed++
        serve(now)
        local.slotFreed(now)
    }

    private fun demandChanged(view: DemandView?, now: Duration) {
        this.view = view ?: this.view
        demand(now)?.let {
            state =
                AdmissionDecision.demandChanged(state, kind, it, reported, actions.random.nextDouble())
        }
        checked(now)
    }

    private fun checked(now: Duration) {
        serve(now)
        local.checked(now)
    }

    private fun serve(now: Duration) {
        apply(AdmissionDecision.timePassed(state, now), now)
        while (serveNext(now)) Unit
    }

    private fun serveNext(now: Duration): Boolean {
        val next = AdmissionDecision.next(state, kind, actions.inFlight(), demand(now) != null, now) ?: return false
        if (!actions.trySend(next.task, now)) return false
        state = AdmissionDecision.sent(state, next)
        return true
    }

    private fun report(now: Duration): IntArray {
        apply(AdmissionDecision.timePassed(state, now), now)
        val queue = state.queue(kind)
        reported = OwnDemand(actions.inFlight(), queue.inTime.size, queue.late.size)
        return intArrayOf(queue.inTime.size, queue.late.size, freed, refused).also {
            freed = 0
            refused = 0
        }
    }
}
