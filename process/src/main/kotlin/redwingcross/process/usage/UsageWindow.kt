package redwingcross.process.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Number of a window of true time, for which the platform wants one report. */
@JvmInline
value class UsageWindow(val number: Long) : Comparable<UsageWindow> {
    override fun compareTo(other: UsageWindow): Int = number.compareTo(other.number)

    operator fun plus(windows: Int): UsageWindow = UsageWindow(number + windows)

    override fun toString(): String = "$number"
}

/** A reading of the fleet's common clock, in Unix milliseconds. */
@JvmInline
value class FleetTime(val unixMillis: Long) : Comparable<FleetTime> {
    override fun compareTo(other: FleetTime): Int = unixMillis.compareTo(other.unixMillis)

    operator fun plus(duration: Duration): FleetTime = FleetTime(unixMillis + duration.inWholeMilliseconds)

    operator fun minus(other: FleetTime): Duration = (unixMillis - other.unixMillis).milliseconds
}

/** Length of the windows. Window k begins k lengths after the start of 1970. */
@JvmInline
value class WindowLength(val duration: Duration) {
    fun windowAt(time: FleetTime): UsageWindow =
        UsageWindow(Math.floorDiv(time.unixMillis, duration.inWholeMilliseconds))

    fun startOf(window: UsageWindow): FleetTime = FleetTime(window.number * duration.inWholeMilliseconds)

    fun endOf(window: UsageWindow): FleetTime = startOf(window + 1)
}
