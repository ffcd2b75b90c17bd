package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against slow and failing groups that get requests until each gateway has lost some there. */
class MergedPaceTest {
    private val merged = MergedPace<String>()
    private var now = 10.seconds

    private fun gateway(number: Int) = ProcessName("n$number")

    private fun measured(pace: Double?, events: Int = 6, ended: Int = 0, failed: Int = 0) =
        mapOf("e1" to PaceSample(pace, events, ended, failed))

    @Test
    fun `the pace of a group is the median of the gateways weighted by their events`() {
        (1..4).forEach { merged.received(gateway(it), measured(6.0), now) }
        merged.received(gateway(5), measured(1.0, events = 2), now)
        merged.received(gateway(6), measured(30.0, events = 2), now)
        assertEquals(mapOf("e1" to 6.0), merged.deviations(now))
    }

    @Test
    fun `one gateway that is itself slow makes no group slow`() {
        (1..4).forEach { merged.received(gateway(it), measured(1.0), now) }
        merged.received(gateway(5), measured(9.0), now)
        assertEquals(emptyMap(), merged.deviations(now))
    }

    @Test
    fun `a slow group that is no longer measured is tried again after a while`() {
        merged.received(gateway(1), measured(8.0), now)
        assertEquals(mapOf("e1" to 8.0), merged.deviations(now))
        now += 4.seconds
        assertEquals(mapOf("e1" to 8.0), merged.deviations(now))
        now += 1.1.seconds
        assertEquals(emptyMap(), merged.deviations(now))
    }

    @Test
    fun `failures that each gateway sees once make a group slow together, and are forgotten`() {
        merged.received(gateway(1), measured(1.0, ended = 1, failed = 1), now)
        val one = merged.deviations(now)["e1"] ?: 1.0
        (2..9).forEach { merged.received(gateway(it), measured(1.0, ended = 1, failed = it % 2), now) }
        val all = merged.deviations(now)["e1"] ?: 1.0
        assertTrue(one < 3.0 && all > 3.0, "$one $all")
        now += 20.seconds
        assertEquals(emptyMap(), merged.deviations(now))
    }

    @Test
    fun `a report with more failures than ends is ignored`() {
        merged.received(gateway(1), measured(9.0, ended = 1, failed = 2), now)
        assertEquals(emptyMap(), merged.deviations(now))
    }

    @Test
    fun `a gateway trusts its own pace only after enough events`() {
        val window = PaceWindow()
        val head = BackendServer("e1")
        repeat(10) { window.recordPause(head, "m", 40.milliseconds) }
        assertEquals(1.0, window.take().getValue(head).pace)
        assertFalse(window.isWellMeasured(head))
        repeat(14) { window.recordPause(head, "m", 40.milliseconds) }
        window.take()
        assertTrue(window.isWellMeasured(head))
        repeat(8) { window.take() }
        assertFalse(window.isWellMeasured(head), "measurements of two seconds ago")
    }
}
