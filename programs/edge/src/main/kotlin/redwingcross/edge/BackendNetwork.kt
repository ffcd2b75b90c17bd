package redwingcross.edge

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import redwingcross.connection.http.BufferedHttpClient
import redwingcross.connection.http.HttpConnections
import redwingcross.connection.http.OutgoingConnectionLimits
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.connection.http.ResponseHead
import redwingcross.platform.RequestFormat
import redwingcross.process.edge.FleetState
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.EngineStart
import redwingcross.version.forwarding.BackendNotice
import redwingcross.version.forwarding.SendToBackend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a back end stated in the head of a response; its start is null if it isn't known. */
internal typealias BackendAnswered = (BackendServer, EngineStart?, BackendNotice) -> Unit

/** Owns the connections to back ends, for requests, reports and orders, and those to the store. */
internal class BackendNetwork(
    group: NioEventLoopGroup,
    loop: EventLoop,
    clock: MonotonicClock,
    private val store: RemoteEndpoint,
    private val fleet: () -> FleetState,
    /** Number of gateways that share the connections that a back end accepts. */
    private val gateways: () -> Int,
    private val answered: BackendAnswered,
) {
    /** Connections for the requests of callers. */
    val requests = HttpConnections(group, clock, REQUEST_CONNECTION_LIMITS, ::idleConnectionLimit, ::onResponse)
    private val controls = HttpConnections(group, clock, CONTROL_CONNECTION_LIMITS, onResponse = ::onResponse)
    private val orders = HttpConnections(group, clock, EngineControl.ORDER_CONNECTION_LIMITS, onResponse = ::onResponse)

    /** Calls the store. */
    val controlClient = BufferedHttpClient(controls, loop)

    /** Requests reports of engines; many may answer at a time. */
    val reportClient = BufferedHttpClient(controls, loop, MAXIMUM_REPORT_BYTES)
    val orderClient = BufferedHttpClient(orders, loop, MAXIMUM_REPORT_BYTES)

    /** Sends a request of a caller to a back end. */
    val send: SendToBackend = { backend, head, body, repeatability, matches, listener ->
        val maximumIdle = if (repeatability.isRepeatable) Duration.INFINITE else MAXIMUM_IDLE_FOR_UNREPEATABLE
        requests.exchange(
            RemoteEndpoint(backend.address.toSocketAddress(), backend.server.value, backend.start?.unixMillis),
            head,
            body,
            matches,
            listener,
            maximumIdle,
        )
    }

    /** Starts to close connections that were idle for too long. */
    fun startExpiry() {
        requests.startExpiry()
        controls.startExpiry()
    }

    private fun onResponse(endpoint: RemoteEndpoint, head: ResponseHead) {
        if (endpoint == store) return
        val start = endpoint.start?.let(::EngineStart)
        answered(BackendServer(endpoint.identity), start, RequestFormat.notice(head))
    }

    private fun idleConnectionLimit(endpoint: RemoteEndpoint): Int {
        val known = fleet()
        val service = known.table.engines[BackendServer(endpoint.identity)]?.status?.service
        val spec = service?.let { known.configuration?.services?.get(it) }
        return spec?.idleConnections(gateways()) ?: Int.MAX_VALUE
    }

    private companion object {
        /** Far more than a report or the answer to an order takes; all engines of a zone may send that much at once. */
        const val MAXIMUM_REPORT_BYTES = 131_072

        val REQUEST_CONNECTION_LIMITS = OutgoingConnectionLimits(connectTimeout = 300.milliseconds, maximumIdle = 16)
        val CONTROL_CONNECTION_LIMITS = OutgoingConnectionLimits(connectTimeout = 300.milliseconds, maximumIdle = 4)

        /**
         * Maximum idle time of a connection that is reused for a request that must not be retried. Back ends close
         * idle connections after 300 ms at the earliest, so a longer idle connection may be closed during the send.
         */
        val MAXIMUM_IDLE_FOR_UNREPEATABLE = 250.milliseconds
    }
}
