package redwingcross.connection.caller

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.DefaultByteBufferPool
import io.undertow.server.handlers.HttpContinueReadHandler
import io.undertow.server.protocol.http.HttpOpenListener
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.xnio.ChannelListeners
import org.xnio.IoUtils
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.StreamConnection
import org.xnio.Xnio
import org.xnio.XnioWorker
import org.xnio.channels.AcceptingChannel
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.toJavaDuration

/**
 * An http4k server on Undertow that sends each part of a streaming body as soon as it is read. http4k's own Undertow
 * server buffers the whole body, so callers would receive all tokens at the end.
 */
class CallerServer(
    private val settings: CallerServerSettings,
    private val clock: MonotonicClock = MonotonicClock.system,
) : ServerConfig {
    override val stopMode: ServerConfig.StopMode =
        ServerConfig.StopMode.Graceful(settings.drainTimeout.toJavaDuration())

    override fun toServer(http: HttpHandler): Http4kServer = RunningCallerServer(settings, clock, http)
}

private class RunningCallerServer(
    private val settings: CallerServerSettings,
    clock: MonotonicClock,
    http: HttpHandler,
) : Http4kServer {
    private val exchanges = ExchangeDispatcher(settings, ResponseWriter(settings.writeStallTimeout, clock), http)
    private val openListener = HttpOpenListener(
        DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0),
        undertowOptions(settings),
    ).apply { rootHandler = HttpContinueReadHandler(exchanges) }
    private lateinit var worker: XnioWorker
    private lateinit var listener: AcceptingChannel<StreamConnection>

    /** Opens the port; throws [java.net.BindException] if it is in use. */
    override fun start(): Http4kServer = apply {
        worker = Xnio.getInstance(Undertow::class.java.classLoader).createWorker(workerOptions(settings))
        val limit = ConnectionLimit(settings.maxConnections, settings.maxConnectionsPerAddress, openListener)
        listener = worker.createStreamConnectionServer(
            InetSocketAddress(settings.host, settings.port),
            ChannelListeners.openListenerAdapter(limit),
            OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true).map,
        )
        listener.resumeAccepts()
    }

    /** Closes the port, waits up to the drain timeout for running exchanges and then closes all connections. */
    override fun stop(): Http4kServer = apply {
        IoUtils.safeClose(listener)
        val isDrained = exchanges.drain(settings.drainTimeout)
        callerLog.info { eventLine("caller_server_stopped", "drained" to isDrained) }
        openListener.closeConnections()
        worker.shutdown()
        if (!worker.awaitTermination(TERMINATION_SECONDS, TimeUnit.SECONDS)) worker.shutdownNow()
    }

    override fun port(): Int = (listener.localAddress as InetSocketAddress).port

    private companion object {
        const val BUFFER_BYTES = 16_384
        const val MAX_POOLED_BUFFERS = 1024
        const val TERMINATION_SECONDS = 5L
    }
}

private const val HARD_LIMIT_FACTOR = 4

private fun undertowOptions(settings: CallerServerSettings): OptionMap = OptionMap.builder()
    .set(UndertowOptions.MAX_HEADER_SIZE, settings.maxHeaderBytes)
    .set(UndertowOptions.MAX_HEADERS, settings.maxHeaders)
    // ExchangeDispatcher enforces the body limit itself and responds with 413. At this higher limit, Undertow closes
    // the connection of a caller that continues to send.
    .set(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes * HARD_LIMIT_FACTOR)
    .set(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleTimeout.inWholeMilliseconds.toInt())
    .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.receiveTimeout.inWholeMilliseconds.toInt())
    .set(UndertowOptions.DECODE_URL, false)
    .set(UndertowOptions.ALWAYS_SET_DATE, true)
    .map

private fun workerOptions(settings: CallerServerSettings): OptionMap = OptionMap.builder()
    .set(Options.WORKER_IO_THREADS, settings.ioThreads)
    // Exchanges run on their own thread pool; this one is only used by XNIO itself.
    .set(Options.WORKER_TASK_CORE_THREADS, 1)
    .set(Options.WORKER_TASK_MAX_THREADS, 1)
    .set(Options.THREAD_DAEMON, true)
    .set(Options.WORKER_NAME, "callers")
    .map
