package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a fleet without an active controller that no log line shows, and against a log filled by one line. */
class ControllerAbsenceTest {
    private var state = ControllerAbsenceDecision.controllerKnown(10.seconds)

    /** Checks each 100 ms until [end]; returns the times of the log lines. */
    private fun linesUntil(start: Duration, end: Duration): List<Duration> {
        val lines = mutableListOf<Duration>()
        var now = start
        while (now <= end) {
            val (next, absent) = ControllerAbsenceDecision.check(state, now)
            state = next
            absent?.let { lines += now }
            now += 100.milliseconds
        }
        return lines
    }

    @Test
    fun `the absence of a controller is logged after the limit and then at intervals`() {
        assertEquals(listOf(13_100, 18_100, 23_100).map { it.milliseconds }, linesUntil(10.seconds, 25.seconds))
        assertEquals(15.seconds, state.absentFor(25.seconds))
    }

    @Test
    fun `a controller that was heard ends the absence and the next one is logged after the limit again`() {
        linesUntil(10.seconds, 14.seconds)
        state = ControllerAbsenceDecision.controllerKnown(14.seconds)
        assertEquals(listOf(17_100.milliseconds), linesUntil(14.seconds, 18.seconds))
    }

    @Test
    fun `a takeover within the limit is not logged`() {
        assertEquals(emptyList(), linesUntil(10.seconds, 13.seconds))
    }
}
