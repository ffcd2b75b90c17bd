package redwingcross.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.version.forwarding.ForwardOutcome

/** Counters and latencies of an edge process in the Prometheus text format, served at `/metrics`. */
internal class EdgeMetrics {
    private val metrics = ProcessMetrics()

    /** Shows [read] at each scrape. */
    fun gauge(name: String, read: () -> Number): Unit = metrics.gauge(name, read = read)

    /** Counts a finished request by route and outcome, and records how long it took. */
    fun record(outcome: ForwardOutcome) {
        val labels = mapOf("route" to outcome.job.route.name, "outcome" to outcome.outcome)
        metrics.count("redwingcross_requests", labels)
        metrics.record("redwingcross_request_duration", labels, outcome.total)
        outcome.firstEvent?.let {
            metrics.record("redwingcross_first_event", mapOf("route" to outcome.job.route.name), it)
        }
    }

    fun serve(exchange: CallerExchange) {
        val headers = DefaultHttpHeaders().add("Content-Type", "text/plain; version=0.0.4")
        if (exchange.head.target == PATH) {
            exchange.respond(OK, headers, metrics.scrape().encodeToByteArray())
        } else {
            exchange.respond(NOT_FOUND, DefaultHttpHeaders(), ByteArray(0))
        }
    }

    companion object {
        /** The port that `deploy/system.toml` names. */
        const val PORT: Int = 9464
        private const val PATH = "/metrics"
        private const val OK = 200
        private const val NOT_FOUND = 404
    }
}
