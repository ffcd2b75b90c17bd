package redwingcross.version.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request that waits for a free place; [Task] identifies it. */
data class WaitingRequest<Task>(
    val task: Task,
    /** Name of the model or service whose back ends can run it. */
    val kind: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Whether a part of the response was sent already, so that its caller waits in the middle of a stream. */
    val isResuming: Boolean,
    /** After this time the request can no longer be served as it should and is refused. */
    val until: Duration,
)

/**
 * The requests of one gateway that wait for a place. Answers bursts and the loss of groups, in which all places are
 * taken for a part of a second: a short wait then serves a caller sooner than a refusal and a second attempt. A request
 * that can't get a place in time is refused at once, so that its caller can go elsewhere.
 *
 * Streams that lost their group come first, then the more urgent requests, then those whose time ends first.
 */
data class WaitingLine<Task>(val waiting: List<WaitingRequest<Task>> = emptyList()) {
    /**
     * Adds [request]; null if it has to be refused because the line is full, or because fewer places come free until
     * the end of its time than there are requests before it. [placesPerSecond] is the rate at which the places of its
     * kind come free for this gateway; null if it is not known yet.
     */
    fun with(request: WaitingRequest<Task>, placesPerSecond: Double?, now: Duration): WaitingLine<Task>? {
        if (request.until <= now) return null
        val next = WaitingLine((waiting + request).sortedWith(order))
        val ahead = next.waiting.indexOf(request)
        val sameKindAhead = next.waiting.take(ahead).count { it.kind == request.kind }
        val placesInTime = placesPerSecond?.let { it * ((request.until - now) / 1.seconds) }
        val tooLate = placesInTime != null && sameKindAhead + 1 > placesInTime + PLACES_OF_OTHER_GATEWAYS
        return if (waiting.size >= CAPACITY || tooLate && !request.isResuming) null else next
    }

    fun without(task: Task): WaitingLine<Task> =
        if (waiting.none { it.task == task }) this else WaitingLine(waiting.filterNot { it.task == task })

    /** Requests whose time has ended at [now]. */
    fun expired(now: Duration): List<WaitingRequest<Task>> = waiting.filter { it.until <= now }

    companion object {
        private val order = compareBy<WaitingRequest<*>> { !it.isResuming }.thenBy { it.priority }.thenBy { it.until }

        /** Bounds the memory of waiting requests; each holds its body. */
        private const val CAPACITY = 256

        /** A gateway also gets places that requests of other gateways leave, so that the first few always wait. */
        private const val PLACES_OF_OTHER_GATEWAYS = 4

        /**
         * Time until which a request may wait. It has to be sent before [objective] to be answered in time; one in the
         * middle of a stream must go on before its caller gives up.
         */
        fun limit(now: Duration, objective: Duration, deadline: Duration, isResuming: Boolean): Duration =
            minOf(if (isResuming) now + RESUMING_LIMIT else objective, deadline)

        /** Callers abandon a stream after a pause of two seconds; the back end still has to read the prompt again. */
        private val RESUMING_LIMIT = 1200.milliseconds
    }
}

/** Rate of events over the last seconds, for example of places that come free. */
class EventRate {
    private val times = ArrayDeque<Duration>()

    fun record(now: Duration) {
        times.addLast(now)
        expire(now)
    }

    /** Events a second at [now]; null if there were too few to tell. */
    fun perSecond(now: Duration): Double? {
        expire(now)
        return if (times.size < MINIMUM_EVENTS) null else times.size / (WINDOW / 1.seconds)
    }

    private fun expire(now: Duration) {
        while (times.isNotEmpty() && times.first() < now - WINDOW) times.removeFirst()
    }

    private companion object {
        val WINDOW = 2.seconds
        const val MINIMUM_EVENTS = 4
    }
}

/** Moving average of durations, in which older ones count less and less. */
class MovingAverage {
    /** The average; null before the first value. */
    var mean: Duration? = null
        private set

    fun record(value: Duration) {
        mean = mean?.let { it + (value - it) * WEIGHT } ?: value
    }

    private companion object {
        const val WEIGHT = 0.05
    }
}

/**
 * Delay after which a refused caller may come back. Answers the refusals of an overload: callers that are all told the
 * same time come back together. The delays are spread over the time in which the [refused] requests of the last second
 * could get a place; [random] is between 0 and 1.
 */
fun retryDelay(refused: Double, placesPerSecond: Double?, random: Double): Duration {
    val needed = placesPerSecond?.let { (refused / it.coerceAtLeast(1.0)).seconds } ?: MINIMUM_RETRY_SPREAD
    return RETRY_DELAY_BASE + needed.coerceIn(MINIMUM_RETRY_SPREAD, MAXIMUM_RETRY_SPREAD) * random
}

/** Shortest delay; callers wait for at most a third of their time limit, so that there is time for another attempt. */
private val RETRY_DELAY_BASE = 250.milliseconds
private val MINIMUM_RETRY_SPREAD = 350.milliseconds
private val MAXIMUM_RETRY_SPREAD = 1500.milliseconds
