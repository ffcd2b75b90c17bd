package redwingcross.process.edge

import io.github.oshai.kotlinlogging.KLogger
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Logs an event as one line of key=value pairs. */
typealias LogEvent = (event: String, pairs: Array<out Pair<String, Any?>>) -> Unit

/** Increments the counter of an event and its outcome; the outcome is empty for events that have none. */
typealias CountLoggedEvent = (event: String, outcome: String) -> Unit

/**
 * Logs the events of a process. At most [linesPerSecond] lines are written; further lines are dropped and their number
 * is logged. Every event is counted in the metrics, whether its line is written or not.
 */
class EventLog(
    private val logger: KLogger,
    private val clock: MonotonicClock,
    private val linesPerSecond: Int,
    private val count: CountLoggedEvent,
) {
    private var windowStart: Duration = clock.now()
    private var written = 0
    private var dropped = 0

    /** Logs an event of ordinary operation. */
    val info: LogEvent = { event, pairs ->
        counted(event, pairs)
        if (admits()) logger.info { eventLine(event, pairs.asList()) }
    }

    /** Logs an unavailable dependency or an invalid input. */
    val warn: LogEvent = { event, pairs ->
        counted(event, pairs)
        if (admits()) logger.warn { eventLine(event, pairs.asList()) }
    }

    private fun counted(event: String, pairs: Array<out Pair<String, Any?>>) {
        count(event, pairs.firstOrNull { it.first in outcomeFields }?.second?.toString().orEmpty())
    }

    private fun admits(): Boolean {
        val now = clock.now()
        if (now - windowStart >= 1.seconds) {
            if (dropped > 0) logger.warn { eventLine("log_lines_dropped", "count" to dropped) }
            windowStart = now
            written = 0
            dropped = 0
        }
        if (written >= linesPerSecond) {
            dropped++
            return false
        }
        written++
        return true
    }

    private companion object {
        /** Fields that contain the outcome of an event; each has few distinct values, as a metric label must. */
        val outcomeFields = setOf("outcome", "end", "status", "acting")
    }
}
