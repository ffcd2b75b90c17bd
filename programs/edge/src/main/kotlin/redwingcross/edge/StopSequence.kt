package redwingcross.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.CancelTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stops a process without cutting off requests. From the start of the sequence its address is no longer returned to
 * callers. Once their address lists have expired, each connection is closed after its current response. The process
 * ends when no request is running, at the latest shortly before the platform kills it.
 */
internal class StopSequence(
    private val grace: Duration,
    listLifetime: Duration,
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val runningRequests: () -> Int,
) {
    private val startedAt = clock.now()

    /**
     * Time until no caller uses an old address list, limited to half of the grace period. Some callers keep a list
     * for three times its lifetime.
     */
    private val listExpiry = minOf(listLifetime * LIST_LIFETIME_FACTOR, grace / 2)

    fun start(closeGracefully: () -> Unit, end: () -> Unit) {
        runLater(listExpiry, closeGracefully)
        endWhenIdle(end)
    }

    private fun endWhenIdle(end: () -> Unit) {
        val elapsed = clock.now() - startedAt
        val isDrained = elapsed >= listExpiry + CLOSING_TIME && runningRequests() == 0
        if (isDrained || elapsed >= grace - KILL_MARGIN) end() else runLater(CHECK_INTERVAL) { endWhenIdle(end) }
    }

    private companion object {
        const val LIST_LIFETIME_FACTOR = 3
        val CLOSING_TIME = 300.milliseconds
        val CHECK_INTERVAL = 50.milliseconds

        /** The process is killed at the end of the grace period. */
        val KILL_MARGIN = 500.milliseconds
    }
}
