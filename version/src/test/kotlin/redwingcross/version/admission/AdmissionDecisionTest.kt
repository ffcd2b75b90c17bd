package redwingcross.version.admission

import redwingcross.request.Customer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against late requests that take the slots of those that can be in time, customers that take the slots of
 * others, requests that are held although the fleet can't answer them, and a queue that grows without bound.
 */
class AdmissionDecisionTest {
    private val kind = BackendKind("large")
    private val demand = KindDemand(
        slots = 200,
        slotsInUse = 200,
        waitingInTime = 0,
        waitingLate = 0,
        freedPerSecond = 100.0,
        refusedPerSecond = 0.0,
    )

    private fun request(
        task: String,
        inTimeUntil: Duration = 250.milliseconds,
        latestSend: Duration = 6.seconds,
        customer: String? = null,
        priority: Int = 1,
        isResuming: Boolean = false,
        bodyBytes: Int = 100,
    ) = AdmissionRequest(
        task,
        kind,
        customer?.let(::Customer),
        priority,
        isResuming,
        inTimeUntil,
        latestSend,
        bodyBytes,
    )

    private fun stateOf(vararg requests: AdmissionRequest<String>) =
        requests.fold(AdmissionState<String>()) { state, request ->
            AdmissionDecision.arrived(state, request, demand, Duration.ZERO).state
        }

    private fun order(start: AdmissionState<String>, isBounded: Boolean = false, now: Duration = Duration.ZERO) =
        buildList {
            var state = start
            while (true) {
                val next = AdmissionDecision.next(state, kind, 0, isBounded, now) ?: return@buildList
                add(next.task)
                state = AdmissionDecision.sent(state, next)
            }
        }

    @Test
    fun `streams that lost their group come first, then urgent requests, then by the last moment to be in time`() {
        val state = stateOf(
            request("later", inTimeUntil = 400.milliseconds),
            request("sooner", inTimeUntil = 200.milliseconds),
            request("late", inTimeUntil = Duration.ZERO, priority = 0),
            request("urgent", priority = 0),
            request("resuming", priority = 2, isResuming = true),
        )
        assertEquals(listOf("resuming", "urgent", "sooner", "later", "late"), order(state))
    }

    @Test
    fun `among late requests of one priority the earliest deadline comes first, so that callers who came back do`() {
        val state = stateOf(
            request("new", inTimeUntil = Duration.ZERO),
            request("came back", inTimeUntil = Duration.ZERO, latestSend = 3.seconds),
        )
        assertEquals(listOf("came back", "new"), order(state))
    }

    @Test
    fun `a large customer gets no more slots than a small one while both wait`() {
        val large = (1..6).map { request("l$it", customer = "large", inTimeUntil = (100 + it).milliseconds) }
        val small = (1..2).map { request("s$it", customer = "small", inTimeUntil = (200 + it).milliseconds) }
        val served = order(stateOf(*(large + small).toTypedArray()))
        assertEquals(listOf("l1", "s1", "l2", "s2", "l3", "l4", "l5", "l6"), served)
        val after = AdmissionDecision.sent(stateOf(*large.toTypedArray()), large.first())
        val joined = AdmissionDecision.arrived(after, small.first(), demand, Duration.ZERO).state
        assertEquals("l2", order(joined).first(), "no slots in advance for a customer that did not wait before")
    }

    @Test
    fun `a request is refused at once if the fleet can't answer it before its deadline`() {
        val overloaded = demand.copy(waitingInTime = 100, waitingLate = 700)
        fun refusals(request: AdmissionRequest<String>) =
            AdmissionDecision.arrived(AdmissionState(), request, overloaded, Duration.ZERO).effects
        assertEquals(1, refusals(request("hopeless", latestSend = 7.seconds)).size)
        assertEquals(0, refusals(request("possible", latestSend = 9.seconds)).size)
        assertEquals(0, refusals(request("resuming", latestSend = 1.seconds, isResuming = true)).size)
        val justOpened = overloaded.copy(freedPerSecond = 1.0)
        val step = AdmissionDecision.arrived(
            AdmissionState(),
            request("possible", latestSend = 9.seconds),
            justOpened,
            Duration.ZERO,
        )
        assertEquals(emptyList(), step.effects, "the slots were filled before any could be freed")
        assertEquals(1, refusals(request("ended", latestSend = Duration.ZERO, isResuming = true)).size)
    }

    @Test
    fun `a request becomes late when it can't be in time any more, and is refused at the end of its time`() {
        val state = AdmissionDecision.timePassed(stateOf(request("r")), 250.milliseconds).state
        assertEquals(listOf("r"), state.queue(kind).late.map { it.task })
        val ended = AdmissionDecision.timePassed(state, 6.seconds)
        assertEquals(1, ended.effects.size)
        assertEquals(0, ended.state.size)
        assertEquals(0, ended.state.bodyBytes)
    }

    @Test
    fun `late requests take no slots while requests of other gateways can be in time, except at the end`() {
        val waiting = stateOf(request("late", inTimeUntil = Duration.ZERO))
        val own = OwnDemand(inFlight = 3, waitingInTime = 0, waitingLate = 1)
        fun nextWith(changed: KindDemand, inFlight: Int, now: Duration = 1.seconds): String? {
            val state = AdmissionDecision.demandChanged(waiting, kind, changed, own, random = 0.0)
            return AdmissionDecision.next(state, kind, inFlight, isBounded = true, now)?.task
        }
        val contended = demand.copy(waitingInTime = 5, waitingLate = 1)
        assertNull(nextWith(contended, inFlight = 2))
        assertEquals("late", nextWith(contended, inFlight = 2, now = 5.seconds))
        assertEquals("late", nextWith(demand.copy(waitingLate = 1), inFlight = 2))
        assertNull(nextWith(demand.copy(waitingLate = 1), inFlight = 3), "more than this gateway had in flight")
        assertEquals("late", nextWith(contended.copy(slotsInUse = 190), inFlight = 0), "its part of the spare slots")
    }

    @Test
    fun `a late request near the end of its time gets every fourth slot, but never before a resuming stream`() {
        val inTime = (1..5).map { request("r$it", inTimeUntil = 7.seconds, latestSend = 9.seconds) }
        val late = request("late", inTimeUntil = Duration.ZERO, latestSend = 6.seconds)
        val state = stateOf(*(inTime + late).toTypedArray())
        assertEquals(listOf("r1", "r2", "r3", "late", "r4", "r5"), order(state, now = 5.seconds))
        assertEquals(listOf("r1", "r2", "r3", "r4", "r5", "late"), order(state, now = 1.seconds))
        val moved = (1..5).map { request("r$it", latestSend = 9.seconds, isResuming = true) }
        assertEquals("late", order(stateOf(*(moved + late).toTypedArray()), now = 5.seconds).last())
    }

    @Test
    fun `the queue is bounded in requests and bytes, and late requests leave it for those that can be in time`() {
        val late = (1..300).map { request("late$it", inTimeUntil = Duration.ZERO, latestSend = (6 + it).seconds) }
        val full = stateOf(*late.toTypedArray())
        assertEquals(256, full.size)
        val step = AdmissionDecision.arrived(full, request("new"), demand, Duration.ZERO)
        assertEquals(256, step.state.size)
        assertEquals("late256", (step.effects.single() as AdmissionEffect.Refuse).request.task)
        val big = (1..3).map { request("big$it", bodyBytes = 4 shl 20) }
        val bytes = stateOf(*big.toTypedArray())
        assertEquals(2, bytes.size)
        assertTrue(bytes.bodyBytes <= AdmissionDecision.MAXIMUM_BODY_BYTES)
    }

    @Test
    fun `refused callers come back over the time in which slots reach them, within a third of their time`() {
        val overloaded = demand.copy(waitingInTime = 50, refusedPerSecond = 150.0)
        val delays = (0..9).map { AdmissionDecision.retryDelay(overloaded, 9.seconds, it / 10.0) }
        assertEquals(750.milliseconds, delays.min())
        assertEquals(10, delays.distinct().size)
        assertTrue(delays.max() in 2.seconds..2250.milliseconds, "$delays")
        val short = (0..9).map { AdmissionDecision.retryDelay(overloaded, 1500.milliseconds, it / 10.0) }
        assertTrue(short.all { it <= 500.milliseconds } && short.distinct().size == 10, "$short")
    }
}
