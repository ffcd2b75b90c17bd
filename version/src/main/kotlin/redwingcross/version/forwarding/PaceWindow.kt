package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What one gateway measured of the head of a group since its last report. */
data class PaceSample(
    /** Mean time between events relative to the average of the kind; null if none was measured. */
    val pace: Double?,
    /** Number of measured times. */
    val events: Int,
    /** Requests that ended, those that failed included. */
    val ended: Int,
    val failed: Int,
)

/**
 * Measures the groups that have requests of one gateway between two of its reports. Answers slow and failing groups: at
 * three requests a second a gateway alone learns of one only after the fleet has lost many requests to it.
 */
class PaceWindow {
    private val measured = HashMap<BackendServer, Measured>()
    private val averages = HashMap<String, MovingAverage>()
    private val recentEvents = HashMap<BackendServer, Double>()

    private class Measured {
        var relativeSum = 0.0
        var events = 0
        var ended = 0
        var failed = 0
    }

    /** Records the time between two events of a stream at [server]; [kind] names its model. */
    fun recordPause(server: BackendServer, kind: String, pause: Duration) {
        val average = averages.getOrPut(kind, ::MovingAverage)
        average.record(pause)
        val mean = average.mean?.toDouble(DurationUnit.MILLISECONDS) ?: return
        if (mean <= 0) return
        val record = measured.getOrPut(server, ::Measured)
        record.relativeSum += pause.toDouble(DurationUnit.MILLISECONDS) / mean
        record.events++
    }

    /** Records that a request at [server] has ended. */
    fun recordEnd(server: BackendServer, failed: Boolean) {
        val record = measured.getOrPut(server, ::Measured)
        record.ended++
        if (failed) record.failed++
    }

    /** What was measured since the last call; called once in each report interval. */
    fun take(): Map<BackendServer, PaceSample> {
        val samples = measured.mapValues { (_, record) ->
            val pace = if (record.events > 0) record.relativeSum / record.events else null
            PaceSample(pace, record.events, record.ended, record.failed)
        }
        measured.clear()
        recentEvents.replaceAll { _, events -> events * KEPT_FRACTION }
        recentEvents.values.removeIf { it < 1 }
        samples.forEach { (server, sample) ->
            if (sample.events > 0) recentEvents.merge(server, sample.events.toDouble(), Double::plus)
        }
        return samples
    }

    /** Whether this gateway alone has measured [server] often enough lately. */
    fun isWellMeasured(server: BackendServer): Boolean = (recentEvents[server] ?: 0.0) >= ENOUGH_EVENTS

    private companion object {
        /** With a report each 250 ms, events count for about one second. */
        const val KEPT_FRACTION = 0.75

        /** One stream has about 25 events a second; single long pauses must not decide. */
        const val ENOUGH_EVENTS = 20.0
    }
}
