package redwingcross.connection.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a wait for a caller that ends by a limit of which the caller could not know, or never ends. */
class CallerWaitTest {
    private val long = CallerConnectionLimits(bodyBytes = 100, headTimeout = 3.seconds, idleTimeout = 15.seconds)
    private val short = CallerConnectionLimits(bodyBytes = 10, headTimeout = 1.seconds, idleTimeout = 2.seconds)
    private val start = 100.seconds

    @Test
    fun `a wait keeps its idle time when a shorter one is configured, and gets a longer one at once`() {
        for ((atStart, current) in listOf(long to short, short to long, long to long)) {
            val wait = CallerWait.forRequest(atStart, start)
            assertEquals(CallerWaitDecision.WAIT, wait.decide(current, start + 15.seconds))
            assertEquals(CallerWaitDecision.CLOSE, wait.decide(current, start + 15.seconds + 1.milliseconds))
        }
        val later = CallerWait.forRequest(short, start)
        assertEquals(CallerWaitDecision.CLOSE, later.decide(short, start + 2.seconds + 1.milliseconds))
    }

    @Test
    fun `a request keeps the limits under which its first byte was received`() {
        val idle = CallerWait.forRequest(short, start)
        val head = idle.received(long, start + 1.seconds)
        val more = head.received(short, start + 3.seconds)
        assertEquals(CallerWaitDecision.WAIT, more.decide(short, start + 4.seconds))
        assertEquals(CallerWaitDecision.REFUSE, more.decide(short, start + 4.seconds + 1.milliseconds))
        val body = more.headReceived(start + 4.seconds).received(short, start + 5.seconds)
        assertEquals(100, body.effectiveLimits(short).bodyBytes)
        assertEquals(CallerWaitDecision.WAIT, body.decide(short, start + 20.seconds))
        assertEquals(CallerWaitDecision.REFUSE, body.decide(short, start + 20.seconds + 1.milliseconds))
    }

    @Test
    fun `a part of a request is refused and not closed on, even if the idle time is the shorter one`() {
        val impatient = long.copy(idleTimeout = 1.seconds)
        val head = CallerWait.forRequest(impatient, start).received(impatient, start)
        assertEquals(CallerWaitDecision.REFUSE, head.decide(impatient, start + 2.seconds))
    }
}
