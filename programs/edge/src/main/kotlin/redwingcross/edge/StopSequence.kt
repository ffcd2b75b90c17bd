package redwingcross.edge

import redwingcross.connection.http.runEvery
import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.StopPeriod
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a [StopSequence] asks of the process. */
internal class StopActions(
    /** Refuses requests that can't be completed before all requests end. */
    val limitRequests: (StopPeriod) -> Unit,
    /** Ends each caller's connection with its next response. */
    val closeGracefully: () -> Unit,
    /** Answers the requests in flight, refuses further ones and accepts no new connections. */
    val endRequests: () -> Unit,
    /** Reads what callers have sent by now. */
    val receiveRequests: () -> Unit,
    val endProcess: () -> Unit,
)

/**
 * What is still in progress while a process stops. Requests that are queued on a connection, or received in part, don't
 * run yet but are held.
 */
internal class StopProgress(
    val runningRequests: () -> Int,
    val holdsRequests: () -> Boolean,
    val hasUnsentBytes: () -> Boolean,
) {
    val isIdle: Boolean get() = runningRequests() == 0 && !holdsRequests() && !hasUnsentBytes()
}

/**
 * Stops a process without cutting off requests. From the start of the sequence its address is no longer returned to
 * callers. Once their address lists have expired, each connection is closed after its current response. The process
 * ends when no request is running or held, at the latest shortly before the platform kills it. Each request that
 * arrives until then gets an answer: callers that know no other address stay to the end.
 */
internal class StopSequence(
    grace: Duration,
    listLifetime: Duration,
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val progress: StopProgress,
    private val actions: StopActions,
) {
    private val startedAt = clock.now()
    private val requestsEndAt = startedAt + grace - ANSWER_MARGIN
    private val processEndsAt = startedAt + grace - KILL_MARGIN

    /**
     * Time until no caller uses an old address list, limited to half of the grace period. Some callers keep a list
     * for three times its lifetime.
     */
    private val listExpiry = minOf(listLifetime * LIST_LIFETIME_FACTOR, grace / 2)

    fun start() {
        runLater(listExpiry, actions.closeGracefully)
        // A step that fails must not stop the sequence: the platform would kill the process under its requests.
        runEvery({ actions.limitRequests(StopPeriod(startedAt, requestsEndAt)) }, ::endWhenIdle)
    }

    private fun endWhenIdle() {
        val now = clock.now()
        val isDrained = now >= startedAt + listExpiry + CLOSING_TIME && progress.isIdle
        if (isDrained || now >= requestsEndAt) endRequests() else runLater(CHECK_INTERVAL, ::endWhenIdle)
    }

    private fun endRequests() {
        // Requests that callers have sent by now are read and refused in the meantime.
        runLater(CHECK_INTERVAL, ::endWhenSent)
        actions.endRequests()
    }

    private fun endWhenSent() {
        // After a pause, this can run before the sockets are read.
        runEvery(actions.receiveRequests, ::endProcessWhenSent)
    }

    private fun endProcessWhenSent() {
        if (progress.isIdle || clock.now() >= processEndsAt) {
            actions.endProcess()
        } else {
            runLater(CHECK_INTERVAL, ::endWhenSent)
        }
    }

    private companion object {
        const val LIST_LIFETIME_FACTOR = 3
        val CLOSING_TIME = 300.milliseconds
        val CHECK_INTERVAL = 50.milliseconds

        /** Time before the end of the grace period at which all requests end; their answers are sent after that. */
        val ANSWER_MARGIN = 500.milliseconds

        /** The process is killed at the end of the grace period. */
        val KILL_MARGIN = 250.milliseconds
    }
}
