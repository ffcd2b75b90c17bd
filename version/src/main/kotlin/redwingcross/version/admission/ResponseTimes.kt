package redwingcross.version.admission

import redwingcross.version.fleet.Route
import redwingcross.version.forwarding.MovingAverage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a request has to be sent to be in time, and to be answered at all. */
data class SendLimits(val inTimeUntil: Duration, val latestSend: Duration)

/** Response times of the routes as this gateway measured them, counted from the send to a back end. */
class ResponseTimes {
    private class Times {
        val first = MovingAverage()
        val total = MovingAverage()
    }

    private val byRoute = HashMap<String, Times>()

    /** Records an answer whose first event, or only response, came after [first] and that was complete at [total]. */
    fun record(route: Route, first: Duration, total: Duration) {
        val times = byRoute.getOrPut(route.name, ::Times)
        times.first.record(first)
        times.total.record(total)
    }

    /** The limits of a request of [route] that arrived at [arrivedAt] and ends at [deadline]. */
    fun limits(route: Route, arrivedAt: Duration, deadline: Duration, isResuming: Boolean, now: Duration): SendLimits {
        if (isResuming) return minOf(deadline, now + RESUMING_LIMIT).let { SendLimits(it, it) }
        val target = route.targetLatency ?: DEFAULT_TARGET
        val times = byRoute[route.name]
        val first = times?.first?.mean ?: (target * EXPECTED_RESPONSE_FRACTION)
        val total = times?.total?.mean ?: target
        val inTimeUntil = arrivedAt + target - minOf(first, target * LARGEST_RESPONSE_FRACTION)
        return SendLimits(minOf(inTimeUntil, deadline), deadline - total * RETRY_FACTOR)
    }

    private companion object {
        /** Objective of routes for which the operator states none. */
        val DEFAULT_TARGET = 300.milliseconds

        /** Part of the objective that a back end is expected to need before its response times were measured. */
        const val EXPECTED_RESPONSE_FRACTION = 0.5

        /** Where responses take longer than the objective, new requests still come before those that waited longer. */
        const val LARGEST_RESPONSE_FRACTION = 0.75

        /** Refused callers wait for up to a third of their remaining time; the rest has to suffice for a retry. */
        const val RETRY_FACTOR = 1.5

        /** Callers abandon a stream after a pause of two seconds; the back end still has to read the prompt again. */
        val RESUMING_LIMIT = 1200.milliseconds
    }
}
