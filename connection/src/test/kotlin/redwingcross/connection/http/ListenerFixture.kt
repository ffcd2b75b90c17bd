package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.SocketChannel
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A listener on loopback whose event loop can be delayed and whose limits can change. */
internal class ListenerFixture(
    @Volatile var limits: CallerConnectionLimits = CallerConnectionLimits(1_000_000, 5.seconds, 5.seconds),
    clock: MonotonicClock = MonotonicClock.system,
    maximumLingering: Int = 1000,
) {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { free ->
        InetSocketAddress(free.inetAddress, free.localPort)
    }
    val exchanges = LinkedBlockingQueue<CallerExchange>()
    val closes = LinkedBlockingQueue<CallerClose>()
    val failures = LinkedBlockingQueue<RequestFailure>()
    val bodyBudget = RequestBodyBudget()

    /** Reads the limits; can be replaced by a function that fails. */
    @Volatile
    var readLimits: () -> CallerConnectionLimits = { limits }

    /** Serves each request; by default it is put into [exchanges]. */
    @Volatile
    var serve: ServeExchange = exchanges::put

    /** Observes closed connections; by default they are put into [closes]. */
    @Volatile
    var onClosing: ObserveCallerClose = closes::put

    /** Largest head of a request in bytes. */
    @Volatile
    var maximumHeadBytes = 1000
    val listener = CallerListener(
        group,
        clock,
        maximumHeadBytes = { maximumHeadBytes },
        limits = { readLimits() },
        onRefused = {},
        serve = { serve(it) },
        bodyBudget = bodyBudget,
        onClosing = { onClosing(it) },
        onFailed = failures::put,
        maximumLingering = maximumLingering,
    ).also { it.start(address) }

    fun connect(): Socket = Socket(address.address, address.port).also { it.soTimeout = 5000 }

    fun connectChannel(): SocketChannel = SocketChannel.open(address)

    fun onLoop(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** Runs [action] on the event loop, after what has been passed to it by now. */
    fun execute(action: () -> Unit): Unit = loop.execute(action)

    /**
     * Delays the event loop while [meanwhile] runs on this thread. [afterwards] then runs on the event loop before it
     * reads its sockets, as a timer does that became due during a pause.
     */
    fun delayLoop(afterwards: () -> Unit, meanwhile: () -> Unit) {
        val started = CountDownLatch(1)
        val end = CountDownLatch(1)
        val done = loop.submit {
            started.countDown()
            end.await()
            afterwards()
        }
        started.await()
        meanwhile()
        end.countDown()
        done.get()
    }

    /** Checks the timeouts on the event loop. */
    fun checkTimeouts(): Unit = listener.checkTimeouts()

    fun nextExchange(): CallerExchange = assertNotNull(exchanges.poll(5, TimeUnit.SECONDS), "no request was served")

    fun nextClose(): CallerClose = assertNotNull(closes.poll(5, TimeUnit.SECONDS), "no connection was closed")

    fun nextFailure(): RequestFailure = assertNotNull(failures.poll(5, TimeUnit.SECONDS), "no failure was reported")

    fun respond(exchange: CallerExchange, body: ByteArray = ByteArray(0)) =
        onLoop { exchange.respond(200, DefaultHttpHeaders(), body) }

    fun close() {
        listener.stopAccepting()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}

internal fun Socket.send(text: String) = getOutputStream().let {
    it.write(text.toByteArray())
    it.flush()
}

/** Reads the head of a response; fails if the connection ends before it is complete. */
internal fun InputStream.readHead(): String {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val next = read()
        check(next >= 0) { "the connection was closed after: $head" }
        head.append(next.toChar())
    }
    return head.toString()
}

internal fun sleep(duration: Duration) = TimeUnit.MILLISECONDS.sleep(duration.inWholeMilliseconds)

internal const val GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
