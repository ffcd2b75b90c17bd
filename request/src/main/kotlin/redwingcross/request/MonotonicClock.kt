package redwingcross.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A clock that measures the time since an arbitrary origin.
 *
 * It never goes back and keeps running while the process is suspended. Leases and snapshots therefore expire during a
 * suspension, and the process sees them as expired when it resumes.
 */
fun interface MonotonicClock {
    /** Time since the origin of this clock; comparable only with other readings of the same clock. */
    fun now(): Duration

    companion object {
        /** Clock based on [System.nanoTime]. */
        val system: MonotonicClock = MonotonicClock { System.nanoTime().nanoseconds }
    }
}
