package redwingcross.connection.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import redwingcross.request.MonotonicClock
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An address and the identity of the server that is expected there.
 *
 * Connections are pooled by all fields, so that a server that took over the address of another one, or has started
 * again, gets connections of its own. [start] tells the starts of a server apart; null if it is not known.
 */
data class RemoteEndpoint(val address: InetSocketAddress, val identity: String, val start: Long? = null)

/** Called with the head of each response of an endpoint, also if it belongs to no exchange. */
typealias ObserveResponse = (RemoteEndpoint, ResponseHead) -> Unit

/** A request that waits for its connection or its response; it can be cancelled at any time. */
class PendingExchange internal constructor(private val listener: ResponseListener) : ResponseListener by listener {
    internal var connection: BackendConnection? = null
        set(value) {
            field = value
            if (value != null) wasSent = true
        }

    /** Whether [cancel] was called. */
    var isCancelled = false
        private set

    /** Whether the request was passed to a connection, so that some of it may have been sent. */
    var wasSent = false
        private set

    /** Cancels the exchange; the listener is not called any more. Has no effect on a finished exchange. */
    fun cancel() {
        if (isCancelled) return
        isCancelled = true
        connection?.cancel()
        connection = null
    }

    fun pauseReading() {
        connection?.pauseReading()
    }

    fun resumeReading() {
        connection?.resumeReading()
    }

    // The connection can be reused for another exchange from here on, so this exchange must not access it any more.
    override fun onEnd() {
        connection = null
        listener.onEnd()
    }

    override fun onFailure(failure: ExchangeFailure) {
        connection = null
        listener.onFailure(failure)
    }

    override fun onError(cause: Throwable) {
        connection = null
        listener.onError(cause)
    }
}

/** Limits of the connections to one kind of remote endpoint. */
data class OutgoingConnectionLimits(
    val connectTimeout: Duration,
    /** Largest number of idle connections that are kept per endpoint. */
    val maximumIdle: Int,
    /** Largest head of a response in bytes. */
    val maximumHeadBytes: Int = DEFAULT_HEAD_BYTES,
) {
    private companion object {
        const val DEFAULT_HEAD_BYTES = 65_536
    }
}

/**
 * Pool of the HTTP connections to back ends, engines' control addresses and the store.
 *
 * Idle connections are reused for [REUSE_FRACTION] of the keep-alive time of the remote end. Not thread-safe: all
 * methods are called on the one event loop of [group].
 */
class HttpConnections(
    private val group: EventLoopGroup,
    private val clock: MonotonicClock,
    private val limits: OutgoingConnectionLimits,
    /** Largest number of idle connections that an endpoint accepts, if it is less than [limits] allows. */
    private val idleLimit: (RemoteEndpoint) -> Int = { Int.MAX_VALUE },
    private val onResponse: ObserveResponse = { _, _ -> },
) {
    private val idle = HashMap<RemoteEndpoint, ArrayDeque<BackendConnection>>()

    /** Number of connections opened since the start, including failed attempts. */
    var opened = 0L
        private set

    /**
     * Sends a request to [endpoint]; [listener] receives the first response for which [matches] returns true.
     *
     * An idle connection is reused only if it has been idle for less than [maximumIdleAge], because the remote end may
     * close it while the request is being sent.
     */
    fun exchange(
        endpoint: RemoteEndpoint,
        head: RequestHead,
        body: ByteArray,
        matches: ResponseMatcher,
        listener: ResponseListener,
        maximumIdleAge: Duration = Duration.INFINITE,
    ): PendingExchange {
        val pending = PendingExchange(listener)
        val reused = takeIdle(endpoint, maximumIdleAge)
        if (reused != null) {
            pending.connection = reused
            reused.send(head, body, matches, pending)
        } else {
            connect(endpoint, pending) { it.send(head, body, matches, pending) }
        }
        return pending
    }

    private fun takeIdle(endpoint: RemoteEndpoint, maximumIdleAge: Duration): BackendConnection? {
        val idleConnections = idle[endpoint] ?: return null
        val now = clock.now()
        while (idleConnections.isNotEmpty()) {
            val connection = idleConnections.removeLast()
            val age = now - connection.idleSince
            if (connection.isIdle && age < minOf(maximumIdleAge, connection.keepAliveTimeout * REUSE_FRACTION)) {
                return connection
            }
            connection.close()
        }
        return null
    }

    private fun connect(endpoint: RemoteEndpoint, pending: PendingExchange, use: (BackendConnection) -> Unit) {
        opened++
        var connection: BackendConnection? = null
        val bootstrap = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            // The end of the input and a failed write are reported and don't close the channel, see InputEnd.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.AUTO_CLOSE, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        TcpKeepAlive.apply(channel)
                        val created = BackendConnection(
                            channel,
                            limits.maximumHeadBytes,
                            clock,
                            { onResponse(endpoint, it) },
                            { release(endpoint, it) },
                            { closed(endpoint, it) },
                        )
                        connection = created
                        channel.pipeline()
                            .addLast(HttpRequestEncoder())
                            .addLast(created.decoder)
                            .addLast(created.handler)
                    }
                },
            )
        bootstrap.connect(endpoint.address).addListener { connected ->
            val created = connection
            when {
                !connected.isSuccess || created == null ->
                    if (!pending.isCancelled) pending.onFailure(ExchangeFailure.NOT_CONNECTED)
                pending.isCancelled -> created.close()
                else -> {
                    pending.connection = created
                    use(created)
                }
            }
        }
    }

    private fun release(endpoint: RemoteEndpoint, connection: BackendConnection) {
        val idleConnections = idle.getOrPut(endpoint) { ArrayDeque() }
        idleConnections.addLast(connection)
        val limit = minOf(limits.maximumIdle, idleLimit(endpoint))
        while (idleConnections.size > limit) idleConnections.removeFirst().close()
    }

    private fun closed(endpoint: RemoteEndpoint, connection: BackendConnection) {
        idle[endpoint]?.remove(connection)
        if (idle[endpoint]?.isEmpty() == true) idle.remove(endpoint)
    }

    /** Starts the periodic task that closes idle connections shortly before the remote end would. */
    fun startExpiry() {
        group.next().runEach(EXPIRY_CHECK_INTERVAL, ::expire)
    }

    private fun expire() {
        val now = clock.now()
        for (idleConnections in idle.values.toList()) {
            val expired = idleConnections.filter { now - it.idleSince >= it.keepAliveTimeout * REUSE_FRACTION }
            idleConnections.removeAll(expired.toSet())
            expired.forEach(BackendConnection::close)
        }
    }

    private companion object {
        /** Fraction of the keep-alive time of the remote end for which an idle connection is reused. */
        const val REUSE_FRACTION = 0.7
        val EXPIRY_CHECK_INTERVAL = 500.milliseconds
    }
}
