package redwingcross.edge

import redwingcross.connection.http.CallResult
import redwingcross.connection.http.HttpCall
import redwingcross.connection.http.OutgoingConnectionLimits
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.platform.EngineFormat
import redwingcross.platform.OrderFormat
import redwingcross.process.edge.ControllerMessage
import redwingcross.process.edge.LogEvent
import redwingcross.process.edge.PostMessage
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.FormationOrder
import redwingcross.version.fleet.OrderCount
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends report requests and orders of the controller to engines; posts the results to its mailbox.
 *
 * Responses to these calls have no id, so an extra response on a kept connection can be taken for that of the next
 * call. An order's response changes what the controller knows of the engine, so [orderCall] uses a new connection for
 * each.
 */
internal class EngineControl(
    private val reportCall: HttpCall,
    private val orderCall: HttpCall,
    private val clock: MonotonicClock,
    private val post: PostMessage<ControllerMessage>,
    private val log: LogEvent,
) {
    /** Requests the report of [engine]; posts a null report if there is no valid response. */
    fun requestReport(service: ServiceName, engine: BackendServer, endpoint: Endpoint) {
        val requestedAt = clock.now()
        val remote = RemoteEndpoint(endpoint.toSocketAddress(), engine.value)
        reportCall(remote, OrderFormat.reportRequestHead(endpoint.value), ByteArray(0), REPORT_TIMEOUT) { result ->
            val report = (result as? CallResult.Answered)?.let { EngineFormat.decodeReport(it.body) }
            val refused = result == CallResult.NotSent && clock.now() - requestedAt < CONNECTION_REFUSED_WITHIN
            post(ControllerMessage.ReportRequestCompleted(service, engine, report, refused))
        }
    }

    /** Sends [order], which the engine rejects unless it has accepted [expected] orders so far. */
    fun sendOrder(
        service: ServiceName,
        engine: BackendServer,
        endpoint: Endpoint,
        order: FormationOrder,
        expected: OrderCount,
    ) {
        val remote = RemoteEndpoint(endpoint.toSocketAddress(), engine.value)
        val body = OrderFormat.encode(order, expected)
        orderCall(remote, OrderFormat.orderRequestHead(endpoint.value), body, ORDER_TIMEOUT) { result ->
            val outcome = OrderFormat.outcome(result)
            val status = (result as? CallResult.Answered)?.status
            log(
                "order",
                arrayOf(
                    "engine" to engine,
                    "order" to order,
                    "expected" to expected.value,
                    "outcome" to outcome,
                    "status" to status,
                ),
            )
            post(ControllerMessage.OrderCompleted(service, engine, outcome))
        }
    }

    companion object {
        /** Limits of connections that carry one order each. */
        val ORDER_CONNECTION_LIMITS = OutgoingConnectionLimits(connectTimeout = 300.milliseconds, maximumIdle = 0)

        /** An engine returns its report even if no slot is free, so a missing response means that it is unreachable. */
        private val REPORT_TIMEOUT = 250.milliseconds

        /** A connection attempt that fails sooner was refused; one to an unresponsive engine times out. */
        private val CONNECTION_REFUSED_WITHIN = 150.milliseconds
        private val ORDER_TIMEOUT = 400.milliseconds
    }
}
