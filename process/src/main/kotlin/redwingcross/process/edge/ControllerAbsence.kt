package redwingcross.process.edge

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** When a process last knew of an active controller, and when it last logged that it knew of none. */
data class ControllerAbsence(val knownAt: Duration, val loggedAt: Duration? = null) {
    /** Time since an active controller was last known, at [now]. */
    fun absentFor(now: Duration): Duration = (now - knownAt).coerceAtLeast(Duration.ZERO)
}

/**
 * Decides when a process logs that it knows of no active controller. Without one, groups that lose a member stay
 * unreplaced, and nothing else in the logs says so: each process only lacks the lines of a controller.
 */
object ControllerAbsenceDecision {
    /** Records that this process acts at [now], or has heard a process that does. */
    fun controllerKnown(now: Duration) = ControllerAbsence(now)

    /** Returns the next state, and for how long no controller has been known if a log line is due. */
    fun check(state: ControllerAbsence, now: Duration): Pair<ControllerAbsence, Duration?> {
        val absent = state.absentFor(now)
        val isDue = absent > ABSENCE_LIMIT && (state.loggedAt == null || now - state.loggedAt >= LOG_INTERVAL)
        return if (isDue) state.copy(loggedAt = now) to absent else state to null
    }

    /** Longer than the takeover from a holder that ends without notice, which takes 1.2 s to 2.7 s. */
    val ABSENCE_LIMIT: Duration = 3.seconds

    /** Shortest time between two log lines of a process. */
    val LOG_INTERVAL: Duration = 5.seconds
}
