package redwingcross.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Time elapsed since an arbitrary origin. It never goes back and includes the time for which the process was stopped,
 * so a process that was paused finds its leases and views expired when it resumes.
 */
fun interface MonotonicClock {
    /** Elapsed time; comparable only with other readings of the same clock. */
    fun now(): Duration

    companion object {
        /** The clock of this host. */
        val system: MonotonicClock = MonotonicClock { System.nanoTime().nanoseconds }
    }
}
