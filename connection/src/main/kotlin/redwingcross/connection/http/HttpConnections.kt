package redwingcross.connection.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder
import redwingcross.request.MonotonicClock
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A remote address together with what it is believed to be, so that a reused address gets connections of its own. */
data class RemoteParty(val address: InetSocketAddress, val identity: String)

/** A request that awaits its connection or its answer; it can be given up at any time. */
class PendingExchange internal constructor(private val listener: AnswerListener) : AnswerListener by listener {
    internal var connection: BackendConnection? = null
        set(value) {
            field = value
            if (value != null) wasSent = true
        }

    /** Whether the exchange was given up. */
    var isCancelled = false
        private set

    /** Whether a connection took the request. */
    var wasSent = false
        private set

    /** Gives the exchange up; the listener hears no more of it. Nothing happens if it is over. */
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

    // The connection may carry another exchange from here on, which this one must not touch.
    override fun onEnd() {
        connection = null
        listener.onEnd()
    }

    override fun onFailure(failure: ExchangeFailure) {
        connection = null
        listener.onFailure(failure)
    }
}

/** Bounds of the connections to one kind of remote party. */
data class ConnectionBounds(
    val connectTimeout: Duration,
    /** Idle connections that are kept for each party. */
    val maximumIdle: Int,
    /** Bytes of an answer's head. */
    val maximumHeadBytes: Int = DEFAULT_HEAD_BYTES,
) {
    private companion object {
        const val DEFAULT_HEAD_BYTES = 65_536
    }
}

/** Connections to back ends, engines' control addresses and the store, reused while they are known to be sound. */
class HttpConnections(
    private val group: EventLoopGroup,
    private val clock: MonotonicClock,
    private val bounds: ConnectionBounds,
    /** Idle connections that may be kept to a party, if it accepts fewer than [bounds] allows. */
    private val idleLimit: (RemoteParty) -> Int = { Int.MAX_VALUE },
) {
    private val idle = HashMap<RemoteParty, ArrayDeque<BackendConnection>>()

    /** Connections opened since the start. */
    var opened = 0L
        private set

    /**
     * Sends a request to [party]. An idle connection is used only if it is younger than [maximumIdleAge], because the
     * other end may close it while the request is on its way.
     */
    fun exchange(
        party: RemoteParty,
        head: RequestHead,
        body: ByteArray,
        matches: MatchAnswer,
        listener: AnswerListener,
        maximumIdleAge: Duration = Duration.INFINITE,
    ): PendingExchange {
        val pending = PendingExchange(listener)
        val reused = takeIdle(party, maximumIdleAge)
        if (reused != null) {
            pending.connection = reused
            reused.send(head, body, matches, pending)
        } else {
            connect(party, pending) { it.send(head, body, matches, pending) }
        }
        return pending
    }

    private fun takeIdle(party: RemoteParty, maximumIdleAge: Duration): BackendConnection? {
        val waiting = idle[party] ?: return null
        val now = clock.now()
        while (waiting.isNotEmpty()) {
            val connection = waiting.removeLast()
            val age = now - connection.idleSince
            if (connection.isIdle && age < minOf(maximumIdleAge, connection.keepAliveFor * USABLE_SHARE)) {
                return connection
            }
            connection.close()
        }
        return null
    }

    private fun connect(party: RemoteParty, pending: PendingExchange, use: (BackendConnection) -> Unit) {
        opened++
        var connection: BackendConnection? = null
        val bootstrap = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, bounds.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        KeepAlive.apply(channel)
                        val created = BackendConnection(channel, clock, { release(party, it) }, { closed(party, it) })
                        connection = created
                        channel.pipeline()
                            .addLast(HttpRequestEncoder())
                            .addLast(
                                HttpResponseDecoder(
                                    bounds.maximumHeadBytes,
                                    bounds.maximumHeadBytes,
                                    bounds.maximumHeadBytes,
                                ),
                            )
                            .addLast(created.handler)
                    }
                },
            )
        bootstrap.connect(party.address).addListener { connected ->
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

    private fun release(party: RemoteParty, connection: BackendConnection) {
        val waiting = idle.getOrPut(party) { ArrayDeque() }
        waiting.addLast(connection)
        val limit = minOf(bounds.maximumIdle, idleLimit(party))
        while (waiting.size > limit) waiting.removeFirst().close()
    }

    private fun closed(party: RemoteParty, connection: BackendConnection) {
        idle[party]?.remove(connection)
        if (idle[party]?.isEmpty() == true) idle.remove(party)
    }

    /** Starts ending idle connections shortly before the other end would. */
    fun startExpiry() {
        group.next().scheduleAtFixedRate(::expire, EXPIRY_MILLIS, EXPIRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun expire() {
        val now = clock.now()
        for (waiting in idle.values.toList()) {
            val old = waiting.filter { now - it.idleSince >= it.keepAliveFor * USABLE_SHARE }
            waiting.removeAll(old.toSet())
            old.forEach(BackendConnection::close)
        }
    }

    private companion object {
        /** Part of the stated keep-alive time in which a connection is used again. */
        const val USABLE_SHARE = 0.7
        val EXPIRY_MILLIS = 500.milliseconds.inWholeMilliseconds
    }
}
