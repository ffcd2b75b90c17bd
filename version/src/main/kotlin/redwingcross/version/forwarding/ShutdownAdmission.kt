package redwingcross.version.forwarding

import redwingcross.version.fleet.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The clock readings at which a process was told to stop and at which it ends all requests. */
data class StopPeriod(val startedAt: Duration, val endsAt: Duration)

/**
 * Decides which requests a stopping process still sends to a back end. Callers whose address list is old, or who know
 * no other address, send requests until the process ends. One that is cut off by that end may have run, so a request is
 * only sent if it is over before: if it is answered or times out by then.
 *
 * For [PREDICTION_TIME] after the stop, while most callers have not learned another address yet, a request that may be
 * repeated is also sent if it is likely to be completed: if the longest request of its route lately would be, with a
 * margin. No earlier request bounds the duration of a later one, but the operators excuse the end of such a request.
 */
class ShutdownAdmission {
    private val longest = HashMap<String, RecentMaximum>()

    /** When the process stops; null while it doesn't. */
    var period: StopPeriod? = null

    /** Clock reading at which the process ends all requests; infinite while it isn't stopping. */
    val endsAt: Duration get() = period?.endsAt ?: Duration.INFINITE

    /** Whether the process is about to end all requests. */
    val isEnding: Boolean get() = endsAt < Duration.INFINITE

    /** Records that a request of [route] was served [total] after its arrival. */
    fun recordServed(route: Route, total: Duration, now: Duration) {
        longest.getOrPut(route.name, ::RecentMaximum).record(total, now)
    }

    /** Whether a request of [route] that is sent at [now] and ends at [deadline] at the latest may be sent. */
    fun canComplete(route: Route, deadline: Duration, now: Duration): Boolean =
        deadline <= endsAt || canPredict(route, now) && isLikelyCompleted(route, now)

    private fun canPredict(route: Route, now: Duration): Boolean {
        val startedAt = period?.startedAt ?: return false
        return route.repeatability.isRepeatable && now - startedAt <= PREDICTION_TIME
    }

    private fun isLikelyCompleted(route: Route, now: Duration): Boolean {
        val usual = longest[route.name]?.at(now) ?: return false
        return now + usual * USUAL_TIME_MARGIN <= endsAt
    }

    private companion object {
        /** The operators don't count a request of this time that still runs when the process ends. */
        val PREDICTION_TIME = 3.seconds

        /** Back ends get slower while they take over the requests of the stopping process. */
        const val USUAL_TIME_MARGIN = 1.5
    }
}

/** Longest of the durations that were recorded within the last one or two windows. */
private class RecentMaximum {
    private var windowStartedAt = Duration.ZERO
    private var previous: Duration? = null
    private var current: Duration? = null

    fun record(value: Duration, now: Duration) {
        advance(now)
        current = maxOf(value, current ?: value)
    }

    fun at(now: Duration): Duration? {
        advance(now)
        return listOfNotNull(previous, current).maxOrNull()
    }

    private fun advance(now: Duration) {
        val elapsed = now - windowStartedAt
        if (elapsed < WINDOW) return
        previous = current.takeIf { elapsed < WINDOW * 2 }
        current = null
        windowStartedAt = now
    }

    private companion object {
        val WINDOW = 10.seconds
    }
}
