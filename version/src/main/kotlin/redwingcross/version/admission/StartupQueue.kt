package redwingcross.version.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that arrived before its process could serve; [Request] identifies it. */
data class StartupRequest<Request>(
    val request: Request,
    val arrivedAt: Duration,
    /** After this time the request is refused, so that its caller has time for an attempt elsewhere. */
    val until: Duration,
)

/**
 * The requests that a process holds from its start until it knows the configuration and the back ends. Answers the load
 * after many processes lost power at once: callers that are refused go to another process that has just started as
 * well, and use up their retries within a second, although the fleet serves again shortly after.
 */
data class StartupQueue<Request>(val waiting: List<StartupRequest<Request>> = emptyList()) {
    /**
     * The queue with a request that arrived at [now] and whose caller waits for [callerTimeout], if stated; null if it
     * has to be refused because the queue is full.
     */
    fun with(request: Request, callerTimeout: Duration?, now: Duration): StartupQueue<Request>? {
        if (waiting.size >= CAPACITY) return null
        val limit = minOf(MAXIMUM_WAIT, callerTimeout?.let { it / CALLER_TIMEOUT_DIVISOR } ?: MAXIMUM_WAIT)
        return StartupQueue(waiting + StartupRequest(request, now, now + limit))
    }

    fun without(request: Request): StartupQueue<Request> =
        if (waiting.none { it.request == request }) this else StartupQueue(waiting.filterNot { it.request == request })

    /** The queue without the requests whose time has ended at [now], and these requests. */
    fun expire(now: Duration): Pair<StartupQueue<Request>, List<Request>> {
        val (ended, left) = waiting.partition { it.until <= now }
        return if (ended.isEmpty()) this to emptyList() else StartupQueue(left) to ended.map { it.request }
    }

    private companion object {
        /** Bounds the connections that are held; their bodies are bounded by the memory of the process for bodies. */
        const val CAPACITY = 256

        /** Callers give up a stream after two seconds without an event, and the engine has yet to read the prompt. */
        val MAXIMUM_WAIT = 1500.milliseconds

        /** A caller that is refused after this part of its time can still complete an attempt elsewhere. */
        const val CALLER_TIMEOUT_DIVISOR = 3
    }
}
