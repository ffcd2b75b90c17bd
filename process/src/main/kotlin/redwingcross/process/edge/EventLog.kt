package redwingcross.process.edge

import io.github.oshai.kotlinlogging.KLogger
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes one line of key=value pairs for an event. */
typealias LogEvent = (event: String, pairs: Array<out Pair<String, Any?>>) -> Unit

/** Counts an event by its name and its outcome, which is empty for events that have none. */
typealias CountLoggedEvent = (event: String, outcome: String) -> Unit

/**
 * Writes the events of a process. The lines of a second are bounded; what is over the bound is counted and the count is
 * logged. Every event is counted in the metrics, whether its line is written or not.
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

    /** Logs a dependency that is lost or an input that can't be used. */
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
        /** Fields that say how an event ended; each has a handful of values. */
        val outcomeFields = setOf("outcome", "end", "status", "acting")
    }
}
