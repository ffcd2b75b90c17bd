package redwingcross.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.CancelTimer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that ends under the requests that it has taken, or before their answers are sent. */
class StopSequenceTest {
    private var now = 100.seconds
    private val timers = mutableListOf<Pair<Duration, () -> Unit>>()
    private val steps = mutableListOf<Pair<String, Duration>>()
    private var running = 1
    private var held = false
    private var unsent = false
    private var unread = 0
    private var isFailing = false

    private val sequence = StopSequence(
        grace = 8.seconds,
        listLifetime = 1.seconds,
        MonotonicClock { now },
        { delay, action ->
            timers += (now + delay) to action
            CancelTimer {}
        },
        StopProgress({ running }, { held }, { unsent }),
        StopActions(
            limitRequests = { record("limit from ${it.startedAt - 100.seconds} until ${it.endsAt - 100.seconds}") },
            closeGracefully = { record("close connections") },
            endRequests = { record("end requests") },
            receiveRequests = {
                check(!isFailing)
                running += unread
                unread = 0
            },
            endProcess = { record("end process") },
        ),
    )

    private fun record(step: String) {
        steps += step to now - 100.seconds
        check(!isFailing) { step }
    }

    private fun runUntil(end: Duration) {
        while (true) {
            val next = timers.minByOrNull { it.first }?.takeIf { it.first <= 100.seconds + end } ?: break
            timers.remove(next)
            now = next.first
            runCatching(next.second).onFailure { if (!isFailing) throw it }
        }
        now = 100.seconds + end
    }

    private fun timeOf(step: String) = steps.single { it.first == step }.second

    @Test
    fun `requests are limited from the start and ended while their answers can still be sent`() {
        sequence.start()
        assertEquals("limit from 0s until 7.5s" to Duration.ZERO, steps.first())
        runUntil(8.seconds)
        assertEquals(3.seconds, timeOf("close connections"))
        assertEquals(7500.milliseconds, timeOf("end requests"))
    }

    @Test
    fun `the process ends after the answers were sent, and before it is killed if a caller does not read`() {
        unsent = true
        sequence.start()
        runUntil(5.seconds)
        running = 0
        runUntil(8.seconds)
        assertEquals(7500.milliseconds, timeOf("end requests"))
        assertTrue(timeOf("end process") in 7700.milliseconds..7800.milliseconds, "$steps")
    }

    @Test
    fun `the process does not end under a request that is queued or received in part`() {
        running = 0
        held = true
        sequence.start()
        runUntil(5.seconds)
        assertTrue(steps.none { it.first == "end requests" }, "$steps")
        held = false
        runUntil(8.seconds)
        assertTrue(timeOf("end process") < 5200.milliseconds, "$steps")
    }

    @Test
    fun `a request that never arrives as a whole does not delay the end of the process beyond its limit`() {
        running = 0
        held = true
        sequence.start()
        runUntil(8.seconds)
        assertEquals(7500.milliseconds, timeOf("end requests"))
        assertTrue(timeOf("end process") in 7700.milliseconds..7800.milliseconds, "$steps")
    }

    @Test
    fun `requests that lay unread after a pause are answered before the process ends`() {
        running = 0
        sequence.start()
        runUntil(3299.milliseconds)
        unread = 1
        runUntil(5.seconds)
        assertTrue(steps.none { it.first == "end process" }, "$steps")
        assertEquals(0, unread)
        running = 0
        runUntil(8.seconds)
        assertTrue(timeOf("end process") < 5100.milliseconds, "$steps")
    }

    @Test
    fun `a process whose steps fail still ends its requests and itself`() {
        isFailing = true
        runCatching(sequence::start)
        runUntil(8.seconds)
        assertEquals(7500.milliseconds, timeOf("end requests"))
        assertEquals(7750.milliseconds, timeOf("end process"))
    }

    @Test
    fun `a process without requests ends soon after the address lists have expired`() {
        running = 0
        sequence.start()
        runUntil(8.seconds)
        assertTrue(timeOf("end process") < 3500.milliseconds, "$steps")
        assertTrue(timeOf("end requests") < timeOf("end process"), "$steps")
    }
}
