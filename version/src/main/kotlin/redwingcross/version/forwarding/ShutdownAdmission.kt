package redwingcross.version.forwarding

import redwingcross.version.fleet.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which requests a stopping process still sends to a back end. Callers whose address list is old, or who know
 * no other address, send requests until the process ends. One that is cut off by that end may have run, so a request is
 * only sent if it can be completed before.
 *
 * A request that must not be repeated needs all of its time limit. The others usually need far less: the longest time
 * that a request of the same route took lately, with a margin.
 */
class ShutdownAdmission {
    private val longest = HashMap<String, RecentMaximum>()

    /** Clock reading at which the process ends all requests; infinite while it isn't stopping. */
    var endsAt: Duration = Duration.INFINITE

    /** Whether the process is about to end all requests. */
    val isEnding: Boolean get() = endsAt < Duration.INFINITE

    /** Records that a request of [route] was served [total] after its arrival. */
    fun recordServed(route: Route, total: Duration, now: Duration) {
        longest.getOrPut(route.name, ::RecentMaximum).record(total, now)
    }

    /** Whether a request of [route] that is sent at [now] and ends at [deadline] at the latest can be completed. */
    fun canComplete(route: Route, deadline: Duration, now: Duration): Boolean {
        if (deadline <= endsAt) return true
        val usual = longest[route.name]?.at(now)?.takeIf { route.repeatability.isRepeatable } ?: return false
        return now + usual * USUAL_TIME_MARGIN <= endsAt
    }

    private companion object {
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
