package redwingcross.process.usage

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are counted in another window because one clock is wrong or a message was late. */
class FleetClockTest {
    private val unknown = ClockEstimate(null, ClockSource.UNKNOWN)
    private val start = 100.seconds
    private val now = 112.seconds

    /** A clock that heard each node now, with the offset in milliseconds. */
    private fun heard(vararg offsets: Long) = offsets.foldIndexed(FleetClock(start)) { index, clock, offset ->
        clock.heard("n$index", offset + now.inWholeMilliseconds, now)
    }

    private fun view(own: Long, fleetSize: Int, announces: Boolean = false) =
        ClockView(ClockOffset(own), fleetSize, announces)

    private fun FleetClock.median(own: Long, fleetSize: Int) =
        estimate(view(own, fleetSize), unknown, now).offset?.millis

    @Test
    fun `clocks that are wrong do not move the time while most are right`() {
        assertEquals(1001, heard(1000, 1001).median(own = 90_000, fleetSize = 3))
        assertEquals(1000, heard(-5_000, 90_000, 1000).median(own = 1000, fleetSize = 4))
        assertEquals(1000, heard(90_000).median(own = 1000, fleetSize = 2))
    }

    @Test
    fun `a process that hears few clocks keeps its estimate or waits`() {
        val known = ClockEstimate(ClockOffset(7), ClockSource.MEDIAN)
        assertEquals(known, heard(5).estimate(view(1000, 5), known, now))
        assertEquals(unknown, FleetClock(start).estimate(view(1000, 5), unknown, start + 9.seconds))
        assertEquals(1000, FleetClock(start).estimate(view(1000, 5), unknown, start + 10.seconds).offset?.millis)
        assertEquals(unknown, FleetClock(start).estimate(view(1000, 1), unknown, start + 2.seconds))
        assertEquals(1000, FleetClock(start).estimate(view(1000, 1), unknown, start + 3.seconds).offset?.millis)
    }

    @Test
    fun `all but the process that announces use the announced time`() {
        val clock = heard(1000, 1002).announced(FleetTime(500 + now.inWholeMilliseconds), now)
        assertEquals(500, clock.median(own = 1001, fleetSize = 3))
        assertEquals(1001, clock.estimate(view(1001, 3, announces = true), unknown, now).offset?.millis)
        val later = clock.estimate(
            view(1001, 3),
            ClockEstimate(ClockOffset(500), ClockSource.ANNOUNCED),
            now + 61.seconds,
        )
        assertEquals(500, later.offset?.millis, "the last estimate, as no clock was heard for long")
    }

    @Test
    fun `one late reading does not set a clock back`() {
        val late = heard(1000, 1000).let { clock ->
            val sent = 1000 + now.inWholeMilliseconds
            (0..1).fold(clock) { next, index -> next.heard("n$index", sent, now + 400.milliseconds) }
        }
        assertEquals(1000, late.estimate(view(1000, 3), unknown, now + 400.milliseconds).offset?.millis)
    }
}
