package redwingcross.process.crash

import kotlin.time.Duration

/**
 * An operator's decision that crashes up to [at] no longer accuse a trait. Of two lifts of a trait the one with the
 * higher [number] holds, and of two reports of the same lift the earlier time, so that delays don't add up.
 */
data class Lift(val number: Int, val at: Duration) {
    fun merge(other: Lift): Lift = when {
        other.number > number -> other
        other.number == number && other.at < at - CrashLimits.timeTolerance -> other
        else -> this
    }
}
