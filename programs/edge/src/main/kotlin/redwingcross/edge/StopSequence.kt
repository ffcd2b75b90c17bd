package redwingcross.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.CancelTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Ends a process without cutting a request: it is no longer named to callers from the start; once their lists have
 * expired, connections end with their answers; the process ends when nothing runs, or shortly before it is killed.
 */
internal class StopSequence(
    private val grace: Duration,
    listLifetime: Duration,
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val running: () -> Int,
) {
    private val startedAt = clock.now()

    /** Some callers keep a list three times as long as they were told. */
    private val listsExpire = minOf(listLifetime * LIST_FACTOR, grace / 2)

    fun start(closeGracefully: () -> Unit, end: () -> Unit) {
        runLater(listsExpire, closeGracefully)
        endWhenIdle(end)
    }

    private fun endWhenIdle(end: () -> Unit) {
        val elapsed = clock.now() - startedAt
        val isDrained = elapsed >= listsExpire + CLOSING_TIME && running() == 0
        if (isDrained || elapsed >= grace - KILL_MARGIN) end() else runLater(CHECK_INTERVAL) { endWhenIdle(end) }
    }

    private companion object {
        const val LIST_FACTOR = 3
        val CLOSING_TIME = 300.milliseconds
        val CHECK_INTERVAL = 50.milliseconds

        /** The process is killed at the end of the grace period. */
        val KILL_MARGIN = 500.milliseconds
    }
}
