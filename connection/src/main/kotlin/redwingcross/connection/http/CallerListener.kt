package redwingcross.connection.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts connections of callers at one address and passes each of their requests to [serve].
 *
 * [onRefused] receives the status of each request that is refused before it reaches [serve]. A process passes the same
 * [bodyBudget] to all its listeners; a request whose body doesn't fit gets 503 with `Retry-After` and is not served.
 * [onClosing] is called once for each connection that is closed from this side, [onFailed] for each failure of a
 * request's handler; the request got a final answer then. At most [maximumLingering] connections wait after their last
 * response until their callers close them, see [LingeringClose].
 */
class CallerListener(
    private val group: EventLoopGroup,
    private val clock: MonotonicClock,
    private val maximumHeadBytes: () -> Int,
    private val limits: () -> CallerConnectionLimits,
    private val onRefused: (status: Int) -> Unit,
    private val serve: ServeExchange,
    private val bodyBudget: RequestBodyBudget = RequestBodyBudget(),
    private val onClosing: ObserveCallerClose = {},
    private val onFailed: ObserveRequestFailure = {},
    private val maximumLingering: Int = DEFAULT_MAXIMUM_LINGERING,
) {
    private val connections = HashSet<CallerConnection>()

    /** Connections that wait for their callers to close them, in the order in which their outputs were closed. */
    private val lingering = LinkedHashSet<CallerConnection>()
    private var channel: Channel? = null

    /** Number of bytes received from callers so far. */
    private var receivedBytes = 0L

    /** Number of connections accepted so far. */
    private var accepted = 0L

    /** Once true, each connection closes after a response behind which no request has begun to arrive. */
    var isClosing = false
        private set

    /** Binds the address and starts to accept connections; throws if the address is in use. */
    fun start(address: InetSocketAddress) {
        val bound = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = prepare(channel)
                },
            )
            .bind(address)
            .sync()
            .channel()
        channel = bound
        bound.eventLoop().runEach(CHECK_INTERVAL, ::checkTimeouts)
    }

    private fun prepare(channel: SocketChannel) {
        accepted++
        TcpKeepAlive.apply(channel)
        val decoding = RequestDecoding(maximumHeadBytes)
        val connection = CallerConnection(channel, this, limits, bodyBudget, decoding::isHeadBegun, serve)
        channel.pipeline().addLast(ReceiveTracker(connection, decoding))
        decoding.addTo(channel.pipeline())
        channel.pipeline()
            .addLast(HttpResponseEncoder())
            .addLast(connection)
    }

    /** Closes idle connections; each of the others closes after the requests that have been read have been served. */
    fun closeGracefully() {
        isClosing = true
        forEachConnection(CallerConnection::closeIfIdle)
    }

    /** Whether a caller has not been sent all bytes of the responses that were written to it. */
    val hasUnsentBytes: Boolean get() = connections.any(CallerConnection::hasUnsentBytes)

    /** Whether a whole request, or a part of one, has been received that has no complete response yet. */
    val holdsRequests: Boolean get() = connections.any(CallerConnection::holdsRequest)

    /** Reads and serves what callers have sent by now; on the event loop, but not while a connection is being read. */
    fun receivePending() {
        repeat(MAXIMUM_ROUNDS) {
            val before = receivedBytes
            forEachConnection { if (it.canReceive) it.channel.readPending() }
            if (receivedBytes == before) return
        }
    }

    /** Stops accepting new connections, after those that callers have opened by now. */
    fun stopAccepting() {
        val bound = channel ?: return
        val stop = {
            if (bound.isOpen) acceptPending(bound)
            bound.close()
        }
        if (bound.eventLoop().inEventLoop()) stop() else bound.eventLoop().execute { stop() }
    }

    private fun acceptPending(bound: Channel) {
        val first = accepted
        do {
            val before = accepted
            bound.readPending()
        } while (accepted != before && accepted - first < BACKLOG)
    }

    internal fun now(): Duration = clock.now()

    internal fun opened(connection: CallerConnection) {
        connections += connection
    }

    internal fun closed(connection: CallerConnection) {
        connections -= connection
        lingering -= connection
    }

    /**
     * Called when the output of [connection] has been closed. Above [maximumLingering] such connections, the one that
     * has waited longest is closed at once: a caller that still sends on it may lose the end of its last response.
     */
    internal fun lingers(connection: CallerConnection) {
        lingering += connection
        if (lingering.size <= maximumLingering) return
        val oldest = lingering.first()
        lingering -= oldest
        oldest.channel.close()
    }

    /** Closes a connection after a delay, unless its caller sends a request meanwhile or has bytes to read. */
    internal fun closeIfIdleLater(connection: CallerConnection) {
        val delay = NEXT_REQUEST_DELAY.inWholeMilliseconds
        val close = { runFor(connection, CallerConnection::closeIfIdle) }
        connection.channel.eventLoop().schedule(close, delay, TimeUnit.MILLISECONDS)
    }

    internal fun closing(close: CallerClose): Unit = observing { onClosing(close) }

    internal fun requestFailed(failure: RequestFailure): Unit = observing { onFailed(failure) }

    /** Passes on an observation; a connection is closed, and a request answered, also if the observer fails. */
    private fun observing(observe: () -> Unit) {
        runCatching(observe).onFailure { httpLog.error(it) { eventLine("observer_failed") } }
    }

    internal fun refused(status: Int): Unit = observing { onRefused(status) }

    internal fun checkTimeouts() {
        val now = clock.now()
        forEachConnection { it.checkTimeouts(now) }
    }

    private fun forEachConnection(action: (CallerConnection) -> Unit) =
        connections.toList().forEach { runFor(it, action) }

    /** Runs [action] for [connection]. A failure closes that connection and has no effect on others. */
    private fun runFor(connection: CallerConnection, action: (CallerConnection) -> Unit) {
        runCatching { action(connection) }.onFailure(connection.channel.pipeline()::fireExceptionCaught)
    }

    /**
     * Reports received bytes before they are decoded, so that the head timeout starts with the first byte of a request,
     * and discards those after the last response.
     */
    private inner class ReceiveTracker(
        private val connection: CallerConnection,
        private val decoding: RequestDecoding,
    ) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val bytes = (message as ByteBuf).readableBytes()
            receivedBytes += bytes
            if (connection.onBytesReceived(bytes)) {
                decoding.applyRaisedLimit(context.pipeline())
                context.fireChannelRead(message)
            } else {
                message.release()
            }
        }
    }

    private companion object {
        /** About a quarter of the descriptors of an edge process. */
        const val DEFAULT_MAXIMUM_LINGERING = 1024

        /** Large, because a full accept queue delays new callers by seconds. */
        const val BACKLOG = 1024

        /** One round reads some hundreds of kilobytes of a connection, and a request is seldom longer than that. */
        const val MAXIMUM_ROUNDS = 64

        /** Time after a response in which a caller that uses its connection all the time sends its next request. */
        val NEXT_REQUEST_DELAY = 200.milliseconds

        /** Interval between two checks of the timeouts, and so their resolution. */
        val CHECK_INTERVAL = 500.milliseconds
    }
}
