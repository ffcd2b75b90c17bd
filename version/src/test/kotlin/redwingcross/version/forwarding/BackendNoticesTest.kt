package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.version.fleet.EngineStart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Guards against notices of a back end that are lost too early, or that outlive the start that they are about. */
class BackendNoticesTest {
    private val notices = BackendNotices()
    private val server = BackendServer("e1")
    private val first = EngineStart(1)
    private val leaving = BackendNotice(isLeaving = true, pause = null)

    private fun pause(length: Duration) = BackendNotice(isLeaving = false, pause = length)

    @Test
    fun `a later response without the statement does not take it back`() {
        assertTrue(notices.record(server, first, leaving, 1.seconds))
        assertFalse(notices.record(server, first, BackendNotice(isLeaving = false, pause = null), 2.seconds))
        notices.record(server, first, pause(1.seconds), 3.seconds)
        assertTrue(notices.isLeaving(server, first))
    }

    @Test
    fun `a notice of an earlier start does not count for the next one`() {
        notices.record(server, first, leaving, 1.seconds)
        notices.record(server, first, pause(9.seconds), 1.seconds)
        assertFalse(notices.isLeaving(server, EngineStart(2)))
        assertEquals(Duration.ZERO, notices.pausedUntil(server, EngineStart(2)))
    }

    @Test
    fun `a shorter pause does not end a longer one`() {
        notices.record(server, first, pause(9.seconds), 1.seconds)
        notices.record(server, first, pause(1.seconds), 2.seconds)
        assertEquals(10.seconds, notices.pausedUntil(server, first))
    }

    @Test
    fun `notices are kept while the back end may go on and forgotten later`() {
        notices.record(server, first, leaving, 1.seconds)
        notices.expire(100.seconds)
        assertTrue(notices.isLeaving(server, first))
        notices.expire(1.hours)
        assertFalse(notices.isLeaving(server, first))
    }
}
