package redwingcross.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.platform.DirectoryFormat
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Serves address lookups by callers and readiness probes by the platform. */
internal class ControlEndpoint(
    private val isReady: () -> Boolean,
    /** Addresses of the gateways that are alive and ready. */
    private val addresses: () -> List<Endpoint>,
    /** Time for which callers may cache the addresses. */
    private val listLifetime: () -> Duration,
) {
    fun serve(exchange: CallerExchange) {
        val target = exchange.head.target
        when {
            DirectoryFormat.isReadinessRequest(target) ->
                exchange.respond(if (isReady()) OK else UNAVAILABLE, DefaultHttpHeaders(), EMPTY)
            DirectoryFormat.isResolveRequest(target) -> resolve(exchange)
            else -> exchange.respond(NOT_FOUND, DefaultHttpHeaders(), EMPTY)
        }
    }

    private fun resolve(exchange: CallerExchange) {
        val found = addresses().take(MAXIMUM_ADDRESSES)
        val headers = DefaultHttpHeaders()
        if (found.isEmpty()) return exchange.respond(UNAVAILABLE, headers, EMPTY)
        headers.add("Content-Type", "application/json")
        exchange.respond(OK, headers, DirectoryFormat.encodeAddresses(found, listLifetime()))
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        val EMPTY = ByteArray(0)
        const val MAXIMUM_ADDRESSES = 64
    }
}
