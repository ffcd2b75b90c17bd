package redwingcross.version.admission

import redwingcross.request.Transition
import redwingcross.version.forwarding.EventRate
import redwingcross.version.forwarding.WaitingLine
import redwingcross.version.forwarding.WaitingRequest
import redwingcross.version.forwarding.retryDelay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The decision of a gateway that knows only its own requests, as `WaitingRequests` applies it. */
internal class LocalAdmission(private val actions: ReplayedActions) : ReplayedAdmission {
    private var line = WaitingLine<ReplayedRequest>()
    private val freed = EventRate()
    private val refusals = EventRate()

    override fun arrived(request: ReplayedRequest, now: Duration) {
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

    override fun slotFreed(now: Duration) {
        freed.record(now)
        checked(now)
    }

    override fun demandChanged(view: DemandView?, now: Duration) = checked(now)

    override fun checked(now: Duration) {
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
internal class SharedAdmissionOfGateway(private val actions: ReplayedActions) : ReplayedAdmission {
    private val kind = AdmissionReplay.KIND
    private val local = LocalAdmission(actions)
    private var state = AdmissionState<ReplayedRequest>()
    private var view: DemandView? = null
    private var reported = OwnDemand(0, 0, 0)
    private var freed = 0
    private var refused = 0

    private fun demand(now: Duration) = view?.takeIf { it.isValid(now) }?.kinds?.get(kind)

    override fun arrived(request: ReplayedRequest, now: Duration) {
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

    override fun slotFreed(now: Duration) {
        freed++
        serve(now)
        local.slotFreed(now)
    }

    override fun demandChanged(view: DemandView?, now: Duration) {
        this.view = view ?: this.view
        demand(now)?.let {
            state =
                AdmissionDecision.demandChanged(state, kind, it, reported, actions.random.nextDouble())
        }
        checked(now)
    }

    override fun checked(now: Duration) {
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

    override fun report(now: Duration): IntArray {
        apply(AdmissionDecision.timePassed(state, now), now)
        val queue = state.queue(kind)
        reported = OwnDemand(actions.inFlight(), queue.inTime.size, queue.late.size)
        return intArrayOf(queue.inTime.size, queue.late.size, freed, refused).also {
            freed = 0
            refused = 0
        }
    }
}

/**
 * Guards against a decision that wastes slots at a load peak: requests that are late in any case take the slots of
 * those that could be in time, or requests are refused while a slot is free that could have served them.
 */
class AdmissionReplayTest {
    private fun replay(peak: ReplayedPeak, admission: (ReplayedActions) -> ReplayedAdmission) =
        AdmissionReplay(peak, admission).run().also { println("gateways=${peak.gateways} $it") }

    @Test
    fun `at a peak with two of eleven groups lost, more requests are in time than with the local decision`() {
        for (gateways in listOf(8, 75, 109, 350)) {
            val peak = ReplayedPeak(gateways, seed = 1)
            val local = replay(peak, ::LocalAdmission)
            val shared = replay(peak, ::SharedAdmissionOfGateway)
            assertTrue(shared.inTimeShare > local.inTimeShare + 0.1, "$gateways gateways: $shared, local $local")
            assertTrue(shared.served > 0.99, "$gateways gateways: $shared")
            assertTrue(shared.refusedWithFreeSlot < shared.requests / 100, "$gateways gateways: $shared")
            assertTrue(local.refusedWithFreeSlot > local.requests / 100, "$gateways gateways: $local")
        }
    }

    @Test
    fun `with views that are too old the decision is the local one`() {
        val peak = ReplayedPeak(109, seed = 2)
        val stale = peak.copy(receivedView = { _, view, now -> view.copy(takenAt = now - DemandView.VALIDITY) })
        val lost = peak.copy(receivedView = { _, _, _ -> null })
        val local = replay(peak, ::LocalAdmission).toString()
        assertEquals(local, replay(stale, ::SharedAdmissionOfGateway).toString())
        assertEquals(local, replay(lost, ::SharedAdmissionOfGateway).toString())
    }

    @Test
    fun `lost views and a controller that repeats an old one for a while leave nobody without an answer`() {
        val cut = 8.seconds..14.seconds
        var last: DemandView? = null
        val paused = ReplayedPeak(109, seed = 3, receivedView = { _, view, now ->
            if (now !in cut) last = view
            last
        })
        val partly = ReplayedPeak(109, seed = 3, receivedView = { gateway, view, now ->
            view.takeIf { now !in cut || gateway % 2 == 0 }
        })
        val local = replay(paused, ::LocalAdmission)
        for (peak in listOf(paused, partly)) {
            val shared = replay(peak, ::SharedAdmissionOfGateway)
            assertTrue(shared.served > 0.99, "$shared")
            assertTrue(shared.inTimeShare > local.inTimeShare, "$shared, local $local")
        }
    }
}
