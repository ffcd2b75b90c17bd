package redwingcross.edge

import io.netty.channel.EventLoopGroup
import redwingcross.connection.http.CallerClose
import redwingcross.connection.http.CallerCloseReason
import redwingcross.connection.http.CallerConnectionLimits
import redwingcross.connection.http.CallerListener
import redwingcross.connection.http.RequestBodyBudget
import redwingcross.connection.http.RequestFailure
import redwingcross.connection.http.ServeExchange
import redwingcross.process.edge.EdgeSettings
import redwingcross.process.edge.LogEvent
import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.CallerLimits
import java.io.IOException
import java.net.InetSocketAddress

/** What the listeners of a process serve. */
internal class EdgeServices(
    val callers: ServeExchange,
    /** Readiness checks of the platform and address lookups of callers. */
    val control: ServeExchange,
    /** Metrics, the state of the process and commands of operators. */
    val operators: ServeExchange,
)

/** Owns the listening sockets of an edge process. */
internal class EdgeListeners(
    private val group: EventLoopGroup,
    private val clock: MonotonicClock,
    private val settings: EdgeSettings,
    services: EdgeServices,
    private val callerLimits: () -> CallerLimits,
    private val info: LogEvent,
    private val warn: LogEvent,
    private val countClose: (CallerCloseReason) -> Unit,
) {
    private val bodyBudget = RequestBodyBudget()
    private val callers = CallerListener(
        group,
        clock,
        maximumHeadBytes = { callerLimits().headerBytes },
        limits = ::connectionLimits,
        onRefused = { info("caller_refused", arrayOf("status" to it)) },
        serve = services.callers,
        bodyBudget = bodyBudget,
        onClosing = ::callerConnectionClosing,
        onFailed = ::requestFailed,
    )
    private val readiness = listener(services.control)
    private val directory = listener(services.control)
    private val metrics = listener(services.operators)

    /** Starts all listeners. If the port for metrics is in use, the process serves callers without metrics. */
    fun start() {
        readiness.start(settings.readiness.toSocketAddress())
        settings.directory?.let { directory.start(it.toSocketAddress()) }
        callers.start(settings.callers.toSocketAddress())
        try {
            metrics.start(InetSocketAddress(settings.ip, EdgeMetrics.PORT))
        } catch (error: IOException) {
            warn("metrics_not_served", arrayOf("port" to EdgeMetrics.PORT, "detail" to error.message))
        }
    }

    /** Ends each caller's connection with its next response. */
    fun closeCallersGracefully(): Unit = callers.closeGracefully()

    /** Whether a caller has not been sent all bytes of its response. */
    val hasUnsentBytes: Boolean get() = callers.hasUnsentBytes

    /** Whether a caller has sent a request, or a part of one, that has no complete response yet. */
    val holdsRequests: Boolean get() = callers.holdsRequests

    /** Reads what callers have sent by now. */
    fun receiveFromCallers(): Unit = callers.receivePending()

    /** Closes the listening socket for callers, so that they can tell at once that the process takes no request. */
    fun stopAcceptingCallers(): Unit = callers.stopAccepting()

    private fun listener(serve: ServeExchange) = CallerListener(
        group,
        clock,
        { CallerLimits().headerBytes },
        ::connectionLimits,
        {},
        serve,
        bodyBudget,
        onFailed = ::requestFailed,
    )

    private fun requestFailed(failure: RequestFailure) = warn(
        "request_failed",
        arrayOf(
            "attempt" to failure.attempt,
            "detail" to failure.cause,
            "at" to failure.place,
            "then" to failure.cause.suppressed.joinToString().ifEmpty { null },
        ),
    )

    private fun callerConnectionClosing(close: CallerClose) {
        countClose(close.reason)
        if (close.reason == CallerCloseReason.CALLER) return
        val log = if (close.reason == CallerCloseReason.FAILED) warn else info
        log(
            "caller_connection_closed",
            arrayOf(
                "reason" to close.reason.name.lowercase(),
                "idle" to close.idle,
                "limit" to close.limit,
                "request" to close.request.name.lowercase(),
                "queued" to close.queued,
                "detail" to close.cause,
            ),
        )
    }

    private fun connectionLimits(): CallerConnectionLimits {
        val limits = callerLimits()
        return CallerConnectionLimits(limits.bodyBytes, limits.headerTimeout, limits.idleTimeout)
    }
}
