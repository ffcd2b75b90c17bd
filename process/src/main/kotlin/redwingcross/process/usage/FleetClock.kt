package redwingcross.process.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Difference between Unix time and a process's monotonic clock, in milliseconds. */
@JvmInline
value class ClockOffset(val millis: Long) : Comparable<ClockOffset> {
    override fun compareTo(other: ClockOffset): Int = millis.compareTo(other.millis)

    fun timeAt(now: Duration): FleetTime = FleetTime(millis + now.inWholeMilliseconds)

    companion object {
        fun between(unixMillis: Long, now: Duration) = ClockOffset(unixMillis - now.inWholeMilliseconds)
    }
}

/** The last offsets of the wall clock of one process, newest last, and when the newest was received. */
data class ClockReadings(val offsets: List<ClockOffset>, val heardAt: Duration) {
    /** A message that took long makes the clock seem slow, so the offset of the fastest of the last ones counts. */
    val offset: ClockOffset get() = offsets.max()
}

/** Where the offset of a [FleetClock] comes from. */
enum class ClockSource { MEDIAN, ANNOUNCED, UNKNOWN }

/** An offset with its source; null while it is not known. */
data class ClockEstimate(val offset: ClockOffset?, val source: ClockSource)

/** What [FleetClock.estimate] needs to know of the process. */
data class ClockView(
    /** The process's own wall clock. */
    val own: ClockOffset,
    /** Number of processes of the fleet, this one included. */
    val fleetSize: Int,
    /** Whether this process is the one that announces the time to the others. */
    val announces: Boolean,
)

/**
 * What a process knows of true time, which is the median of the wall clocks of the fleet. Handles the load of a clock
 * that is set back or forward on one VM, or that runs wrong there: no request may move to another window. Between
 * readings the monotonic clock counts, so a step of the own clock has no effect either.
 */
data class FleetClock(
    val startedAt: Duration,
    val readings: Map<String, ClockReadings> = emptyMap(),
    /** The time that the holder announced. */
    val announced: ClockReadings? = null,
) {
    /** Records the wall clock of another process. */
    fun heard(node: String, unixMillis: Long, now: Duration): FleetClock =
        copy(readings = readings + (node to readings[node].with(unixMillis, now)))

    private fun ClockReadings?.with(unixMillis: Long, now: Duration) = ClockReadings(
        this?.offsets.orEmpty().takeLast(READINGS_KEPT - 1) + ClockOffset.between(unixMillis, now),
        now,
    )

    /** Records the time that the holder announced. */
    fun announced(time: FleetTime, now: Duration): FleetClock = copy(announced = announced.with(time.unixMillis, now))

    /** Forgets the clocks of processes that have not been heard for long. */
    fun expired(now: Duration): FleetClock {
        if (readings.values.all { now - it.heardAt <= READING_LIFETIME }) return this
        return copy(readings = readings.filterValues { now - it.heardAt <= READING_LIFETIME })
    }

    /**
     * The announced time, because all gateways then number the windows alike; the median of the clocks heard where the
     * process announces the time itself or nobody does. A process that hears less than half of the fleet's clocks keeps
     * its [previous] estimate; if it has none, it waits for [PATIENCE] from its start before it takes what it hears.
     */
    fun estimate(view: ClockView, previous: ClockEstimate, now: Duration): ClockEstimate {
        val valid = announced?.takeIf { now - it.heardAt <= ANNOUNCEMENT_LIFETIME }?.offset
        if (valid != null && !view.announces) return ClockEstimate(valid, ClockSource.ANNOUNCED)
        val clocks = readings.values.filter { now - it.heardAt <= READING_LIFETIME }.map { it.offset } + view.own
        val isAloneTooEarly = view.fleetSize == 1 && now - startedAt < DISCOVERY
        return when {
            clocks.size * 2 > view.fleetSize && !isAloneTooEarly -> ClockEstimate(median(clocks), ClockSource.MEDIAN)
            valid != null -> ClockEstimate(valid, ClockSource.ANNOUNCED)
            previous.offset != null -> previous
            now - startedAt >= PATIENCE -> ClockEstimate(median(clocks), ClockSource.MEDIAN)
            else -> ClockEstimate(null, ClockSource.UNKNOWN)
        }
    }

    private fun median(clocks: List<ClockOffset>): ClockOffset = clocks.sorted()[(clocks.size - 1) / 2]

    companion object {
        /** Processes state their clock each second, so these are the readings of four seconds. */
        private const val READINGS_KEPT = 4
        private val READING_LIFETIME = 10.seconds

        /** Quartz clocks drift by less than 0.1 ms a second, so this is at most 6 ms. */
        private val ANNOUNCEMENT_LIFETIME = 60.seconds

        /** Longer than a process takes to hear of the others, which it doesn't know at first. */
        private val DISCOVERY = 3.seconds

        /**
         * The time after which processes that send nothing are no longer part of the fleet. Until then a process may
         * hear only itself because the others start more slowly, and its own clock may be the one that is wrong.
         */
        val PATIENCE: Duration = 10.seconds

        /** Interval at which a process states its clock and looks at the others'. */
        val INTERVAL: Duration = 1000.milliseconds
    }
}
