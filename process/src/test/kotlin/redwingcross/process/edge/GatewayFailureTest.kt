package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import redwingcross.version.forwarding.StopPeriod
import redwingcross.version.places.GatewayStart
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Guards against requests that hang, end without an answer or keep their place because a step of the gateway failed
 * while it handled them: each call of each function that the gateway depends on fails once.
 */
class GatewayFailureTest : GatewayFixture(isAdmissionShared = true) {
    private val readers = Executors.newCachedThreadPool()
    private val held = ArrayDeque<CallerExchange>()
    private var ran = 0

    /** This gateway owns the places itself, so that requests for models ask for places and are granted some. */
    override fun places() = PlaceNetwork(
        GatewayStart(ProcessName("self"), 1),
        ownerEpoch = { 1L.also { steps.pass("ownerEpoch") } },
        ownEpoch = { 1L.also { steps.pass("ownEpoch") } },
        fleetSize = { 1.also { steps.pass("fleetSize") } },
        sendToOwner = {},
        sendToGateway = { _, _ -> },
        count = { steps.pass("count") },
    )

    @AfterTest
    fun stopReaders() {
        readers.shutdownNow()
    }

    /**
     * Lets each call of each step fail once. In each run, the callers of [begin] send their requests; whenever nothing
     * arrives at the back ends, [next] handles the requests that are [held] there.
     */
    private fun failEachStep(begin: () -> List<Socket>, next: () -> Unit) {
        onLoop { steps.begin() }
        val isServed = isServed(run(begin, next))
        val calls = onLoop(steps::counted)
        var failed = 0
        for ((step, count) in calls) {
            for (number in 0 until count) {
                onLoop { steps.begin(step, number) }
                val answers = runCatching { run(begin, next) }.getOrElse { throw AssertionError("$step $number", it) }
                if (onLoop { steps.hasFailed }) failed++
                assertFinal(answers, "$step $number")
            }
        }
        assertTrue(failed >= calls.size, "$failed of $calls failed")
        onLoop { steps.begin() }
        // A back end that declined a request is avoided for a moment.
        val deadline = TimeSource.Monotonic.markNow() + 5.seconds
        while (isServed &&
            !isServed(run(begin, ::answerHeld))
        ) {
            assertTrue(deadline.hasNotPassedNow(), "nothing is served")
        }
    }

    private fun isServed(answers: List<Pair<String, Boolean>>) = answers.any { (text, _) -> " 200 " in text }

    private fun run(begin: () -> List<Socket>, next: () -> Unit): List<Pair<String, Boolean>> {
        onLoop { gateway.stop(StopPeriod(Duration.ZERO, Duration.INFINITE)) }
        failures.clear()
        ran = 0
        val answers = begin().map { readers.submit<Pair<String, Boolean>> { it.readUntilClosed() } }
        val deadline = TimeSource.Monotonic.markNow() + 5.seconds
        while (!answers.all(Future<*>::isDone) || onLoop { gateway.runningRequests } > 0) {
            assertTrue(deadline.hasNotPassedNow(), "a request has no answer or still holds its place")
            arrivals.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)?.let(held::addLast) ?: run {
                runCatching { onLoop(gateway::checkProgress) }
                next()
            }
        }
        return answers.map { it.get() }
    }

    private fun assertFinal(answers: List<Pair<String, Boolean>>, case: String) {
        for ((text, wasReset) in answers) {
            val status = text.substringAfter("HTTP/1.1 ").substringBefore(' ')
            assertEquals(1, Regex("HTTP/1.1 ").findAll(text).count(), "$case: '$text'")
            assertTrue(wasReset || status in setOf("200", "502", "503"), "$case: '$text'")
            val isRefusal = "Retry-Delay" in text
            assertEquals(status == "503", isRefusal, "$case: '$text'")
            if (answers.size == 1) assertTrue(!isRefusal || ran == 0, "$case: refused after it ran")
        }
        assertTrue(failures.size <= 1, "$case: ${failures.map { it.cause }}")
        onLoop {
            assertEquals(0 to 0, gateway.runningRequests to gateway.waitingRequests, case)
            assertEquals(emptyMap(), gateway.reportLoad(), case)
        }
        held.clear()
        arrivals.clear()
    }

    private fun answerHeld() {
        while (held.isNotEmpty()) answer(held.removeFirst())
    }

    private fun answer(arrival: CallerExchange) {
        ran++
        if (arrival.head.target.startsWith("/generation")) {
            onLoop {
                arrival.beginEvents()
                arrival.endStream()
            }
        } else {
            arrival.respondSigned("whole")
        }
    }

    private fun CallerExchange.beginEvents() {
        val id = (head.headers.get("Resume")?.toInt() ?: 0) + 1
        beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
        write("id: $id\ndata: a\n\n".toByteArray())
    }

    /** Handles the first request that is held with [first], and answers the others. */
    private fun failEachStepOf(begin: () -> Socket, first: (CallerExchange) -> Unit) {
        var isFirst = true
        failEachStep(
            {
                isFirst = true
                listOf(begin())
            },
        ) {
            if (isFirst && held.isNotEmpty()) {
                isFirst = false
                first(held.removeFirst())
            }
            answerHeld()
        }
    }

    @Test
    fun `a request that is served gets a final answer`() {
        startBackends(2)
        failEachStepOf({ call("idempotent") }, ::answer)
    }

    @Test
    fun `a request that a back end declines gets a final answer`() {
        startBackends(2)
        failEachStepOf({ call("idempotent") }) { it.decline() }
    }

    @Test
    fun `a request whose back end is lost gets a final answer`() {
        startBackends(2)
        failEachStepOf({ call("idempotent") }) {
            ran++
            onLoop(it::abort)
        }
    }

    @Test
    fun `a stream that a back end breaks off ends`() {
        startEngines(2)
        failEachStepOf({ generate("p1") }) {
            ran++
            onLoop {
                it.beginEvents()
                it.abort()
            }
        }
    }

    @Test
    fun `requests of a lost group get final answers`() {
        startEngines(2)
        failEachStepOf({ generate("p1") }) { arrival ->
            ran++
            val groups = onLoop { gateway.reportLoad().keys }.map { groupOf(it) }.toSet()
            runCatching { onLoop { gateway.groupsLost(groups) } }
            onLoop { arrival.beginEvents() }
            onLoop { arrival.endStream() }
        }
    }

    @Test
    fun `requests that wait for places get final answers`() {
        startEngines(1)
        failEachStep({ List(pool.slots + 2) { generate("p1") } }, ::answerHeld)
    }

    @Test
    fun `requests that wait in order of the fleet's demand get final answers`() {
        startEngines(1)
        val demand = KindDemand(pool.slots, pool.slots, 0, 0, freedPerSecond = 10.0, 0.0)
        val kinds = mapOf(BackendKind(model.value) to demand)
        failEachStep(
            {
                val view = DemandView(kinds, MonotonicClock.system.now())
                onLoop { runCatching { checkNotNull(gateway.sharedWaiting).demandChanged(view) } }
                List(pool.slots + 2) { generate("p1") }
            },
            ::answerHeld,
        )
    }

    @Test
    fun `requests that are held at the start get final answers`() {
        failEachStep(
            {
                forgetFleet()
                val callers = List(2) { call("idempotent") }
                awaitReceived(2)
                startBackends(1)
                callers
            },
            ::answerHeld,
        )
    }

    @Test
    fun `all requests get final answers at the end of the process`() {
        startEngines(1)
        failEachStep({ List(pool.slots + 2) { generate("p1") } }) {
            ran += held.size
            runCatching { onLoop(gateway::endRequests) }
        }
    }

    @Test
    fun `a request whose caller leaves frees its place`() {
        startBackends(1)
        var caller = Socket()
        failEachStep(
            {
                caller = call("idempotent")
                awaitReceived(1)
                emptyList()
            },
            { caller.close() },
        )
    }

    private companion object {
        /** A gap of this length between two arrivals means that no more requests are on their way. */
        const val QUIET_MILLIS = 10L
    }
}
