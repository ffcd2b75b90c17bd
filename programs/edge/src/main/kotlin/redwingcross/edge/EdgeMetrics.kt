package redwingcross.edge

import redwingcross.connection.http.CallerCloseReason
import redwingcross.platform.CountStoreCall
import redwingcross.process.edge.CountLoggedEvent
import redwingcross.process.edge.PlaceResult
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait
import redwingcross.version.forwarding.ForwardOutcome
import kotlin.time.Duration

/** Counters and latencies of an edge process in the Prometheus text format. */
internal class EdgeMetrics {
    private val metrics = ProcessMetrics()

    /** Registers a gauge whose value is read with [read] at each scrape. */
    fun gauge(name: String, labels: Map<String, String> = emptyMap(), read: () -> Number): Unit =
        metrics.gauge(name, labels, read)

    /** Counts a logged event by name and outcome. */
    val countEvent: CountLoggedEvent = { event, outcome ->
        metrics.count("redwingcross_events", mapOf("event" to event, "outcome" to outcome))
    }

    /** Counts a call to the store by purpose and outcome. */
    val countStoreCall: CountStoreCall = { purpose, outcome ->
        metrics.count("redwingcross_store_calls", mapOf("purpose" to purpose, "outcome" to outcome))
    }

    /** Counts windows of the usage reports by outcome. */
    fun countUsageWindows(outcome: String, windows: Int): Unit =
        repeat(windows) { metrics.count("redwingcross_usage_windows", mapOf("outcome" to outcome)) }

    /** Records the delay between the scheduled and the actual run of a periodic action of the event loop. */
    fun recordLoopDelay(delay: Duration): Unit = metrics.record("redwingcross_loop_delay", emptyMap(), delay)

    /** Counts a finished request by route and outcome, and records its duration and the time to its first event. */
    fun recordRequest(outcome: ForwardOutcome) {
        val labels = mapOf("route" to outcome.job.route.name, "outcome" to outcome.outcome)
        metrics.count("redwingcross_requests", labels)
        metrics.record("redwingcross_request_duration", labels, outcome.total)
        outcome.firstEvent?.let {
            metrics.record("redwingcross_first_event", mapOf("route" to outcome.job.route.name), it)
        }
    }

    /** Counts an observed end of an engine. */
    val countCrash: () -> Unit = { metrics.count("redwingcross_engine_ends", emptyMap()) }

    /** Counts a request that was not sent to an engine because of a blocked trait. */
    val countBlockedRequest: (RequestTrait) -> Unit = { trait ->
        // Callers choose their requests, so a label for each would grow without bound.
        val label = if (trait is RequestDigest) WHOLE_REQUEST else trait.id
        metrics.count("redwingcross_blocked_requests", mapOf("part" to label))
    }

    /** Counts a request by what the owner of the places answered. */
    val countPlace: (PlaceResult) -> Unit = { result ->
        metrics.count("redwingcross_places", mapOf("result" to result.name.lowercase()))
    }

    /** Counts a connection of a caller that this process closes. */
    val countCallerClose: (CallerCloseReason) -> Unit = { reason ->
        metrics.count("redwingcross_caller_connections_closed", mapOf("reason" to reason.name.lowercase()))
    }

    /** All metrics in the Prometheus text format. */
    fun scrape(): String = metrics.scrape()

    companion object {
        /** Port of the metrics listener; `deploy/system.toml` contains the same number. */
        const val PORT: Int = 9464

        /** Value of the label `part` for all blocked requests that are blocked as a whole. */
        private const val WHOLE_REQUEST = "whole_request"
    }
}
