package redwingcross.process.edge

import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.UpdateSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against a process that stays behind a restored store, or that restarts its watches because others haven't
 * seen the restore yet.
 */
class WatchLagEraTest {
    private val source = UpdateSource.BACKEND_SERVERS
    private val detector = WatchLagDetector { LAG }

    private fun progress(revision: Long, era: Long) = mapOf(source to WatchProgress(revision, revision, StoreEra(era)))

    /** Compares each 50 ms from [from] to [until]; returns the times at which the watch has to be restarted. */
    private fun restarts(
        other: Map<UpdateSource, WatchProgress>,
        own: Map<UpdateSource, WatchProgress>,
        from: Duration,
        until: Duration,
    ): List<Duration> = generateSequence(from) { it + 50.milliseconds }.takeWhile { it <= until }
        .filter { source in detector.compare(other, own, it) }.toList()

    @Test
    fun `a process that misses a change restarts its watch`() {
        val times = restarts(progress(900, 0), progress(800, 0), 0.milliseconds, 500.milliseconds)
        assertEquals(listOf(LAG), times)
    }

    @Test
    fun `a process behind by an era restarts its watch although its revision is higher`() {
        val times = restarts(progress(50, 1), progress(800, 0), 0.milliseconds, 500.milliseconds)
        assertEquals(listOf(LAG), times)
    }

    @Test
    fun `a process that knows the new era is not behind others in the old one`() {
        val times = restarts(progress(900, 0), progress(50, 1), 0.milliseconds, 60_000.milliseconds)
        assertEquals(emptyList(), times)
    }

    @Test
    fun `what was awaited in the old era is not awaited in the new one`() {
        assertEquals(emptyList(), restarts(progress(900, 0), progress(800, 0), 0.milliseconds, 250.milliseconds))
        assertEquals(emptyList(), restarts(progress(50, 1), progress(50, 1), 300.milliseconds, 300.milliseconds))
        val times = restarts(progress(51, 1), progress(50, 1), 350.milliseconds, 800.milliseconds)
        assertEquals(listOf(350.milliseconds + LAG), times, "the wait began with the change of the new era")
    }

    @Test
    fun `a watch is restarted once for an era that the store does not confirm`() {
        val times = restarts(progress(50, 7), progress(800, 0), 0.milliseconds, 60_000.milliseconds)
        assertEquals(listOf(LAG), times)
    }

    @Test
    fun `a watch is restarted again for the next era`() {
        assertEquals(1, restarts(progress(50, 1), progress(800, 0), 0.milliseconds, 5_000.milliseconds).size)
        assertEquals(1, restarts(progress(40, 2), progress(50, 1), 6_000.milliseconds, 9_000.milliseconds).size)
        assertEquals(0, restarts(progress(40, 2), progress(45, 2), 9_000.milliseconds, 60_000.milliseconds).size)
        assertEquals(1, restarts(progress(46, 2), progress(45, 2), 60_000.milliseconds, 60_300.milliseconds).size)
    }

    @Test
    fun `progress in an era that no store can be in restarts no watch`() {
        for (era in listOf(-1, StoreEra.MAXIMUM + 1, Long.MAX_VALUE)) {
            val times = restarts(progress(900, era), progress(800, 0), 0.milliseconds, 60_000.milliseconds)
            assertEquals(emptyList(), times, "era $era")
        }
    }

    private companion object {
        val LAG = 300.milliseconds
    }
}
