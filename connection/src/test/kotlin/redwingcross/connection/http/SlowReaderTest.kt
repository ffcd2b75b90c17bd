package redwingcross.connection.http

import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against back ends that read long bodies slowly and so use up the memory of the process: the event loop then
 * sleeps in allocations, and callers of all services wait.
 */
class SlowReaderTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val server = ServerSocket()
        .also { it.receiveBufferSize = 65_536 }
        .also { it.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0)) }
    private val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private val budget = RequestBodyBudget(maximumBytes = 400_000)
    private val exchanges = LinkedBlockingQueue<CallerExchange>()
    private val address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { free ->
        InetSocketAddress(free.inetAddress, free.localPort)
    }
    private val listener = CallerListener(
        group,
        MonotonicClock.system,
        maximumHeadBytes = { 1000 },
        limits = { CallerConnectionLimits(bodyBytes = 1_000_000, headTimeout = 5.seconds, idleTimeout = 5.seconds) },
        onRefused = {},
        serve = exchanges::put,
        bodyBudget = budget,
    )

    @AfterTest
    fun close() {
        server.close()
        listener.stopAccepting()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a connection holds a part of a long body, which arrives whole once the server reads`() {
        val limits = OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4)
        val client = BufferedHttpClient(
            HttpConnections(group, MonotonicClock.system, limits),
            loop as io.netty.channel.EventLoop,
        )
        val mayRead = CountDownLatch(1)
        val bodies = LinkedBlockingQueue<ByteArray>()
        serve(mayRead, bodies)
        val body = ByteArray(BODY_BYTES) { (it % 251).toByte() }
        val results = LinkedBlockingQueue<CallResult>()
        val before = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory()
        loop.submit {
            repeat(CONNECTIONS) {
                val head = RequestHead("POST", "/", DefaultHttpHeaders().add("Host", "h"))
                client.call(endpoint, head, body, 60.seconds, results::put)
            }
        }.get()
        Thread.sleep(SETTLE_MILLIS)
        val held = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - before
        assertTrue(held <= MAXIMUM_HELD_BYTES, "$held bytes of direct memory are held for slow servers")
        mayRead.countDown()
        repeat(CONNECTIONS) {
            assertContentEquals(body, assertNotNull(bodies.poll(20, TimeUnit.SECONDS), "a body did not arrive"))
            assertEquals(200, (results.poll(20, TimeUnit.SECONDS) as CallResult.Answered).status)
        }
    }

    /** Accepts the connections, reads nothing before [mayRead], and answers each request once its body is read. */
    private fun serve(mayRead: CountDownLatch, bodies: LinkedBlockingQueue<ByteArray>) {
        repeat(CONNECTIONS) {
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    mayRead.await()
                    socket.getInputStream().readHead()
                    bodies.put(socket.getInputStream().readNBytes(BODY_BYTES))
                    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    Thread.sleep(SETTLE_MILLIS)
                }
            }
        }
    }

    @Test
    fun `a body beyond the bound is refused as not run, small ones are served, and the bound frees itself`() {
        listener.start(address)
        val held = connect().also { it.post(300_000) }
        val exchange = assertNotNull(exchanges.poll(5, TimeUnit.SECONDS))
        assertRefused { it.post(100_000) }
        assertRefused { it.post(100_000, "Transfer-Encoding: chunked") }
        connect().post(10_000)
        val small = assertNotNull(exchanges.poll(5, TimeUnit.SECONDS), "a small request was not served")
        assertEquals(10_000, small.body.size)
        respond(small)
        respond(exchange)
        assertTrue("200" in held.getInputStream().readHead())
        val next = connect().also { it.post(250_000) }
        assertNotNull(exchanges.poll(5, TimeUnit.SECONDS), "the bytes of a finished request are still held")
        next.close()
        connect().use { it.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nstart") }
        awaitHeld(0)
    }

    private fun assertRefused(post: (Socket) -> Unit) = connect().use { socket ->
        post(socket)
        val head = socket.getInputStream().readHead()
        assertTrue("503" in head && "retry-after: 1\r\n" in head.lowercase(), head)
        assertTrue(exchanges.isEmpty(), "a refused request was served")
    }

    private fun respond(exchange: CallerExchange) =
        loop.submit { exchange.respond(200, DefaultHttpHeaders(), ByteArray(0)) }.get()

    private fun awaitHeld(bytes: Long) {
        repeat(100) {
            if (loop.submit<Long> { budget.heldBytes }.get() == bytes) return
            Thread.sleep(20)
        }
        assertEquals(bytes, loop.submit<Long> { budget.heldBytes }.get(), "bytes of ended requests are still held")
    }

    private fun connect() = Socket(address.address, address.port).also { it.soTimeout = 5000 }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    private fun Socket.post(bytes: Int, framing: String = "Content-Length: $bytes") {
        send("POST / HTTP/1.1\r\nHost: h\r\n$framing\r\n\r\n")
        val isChunked = framing != "Content-Length: $bytes"
        if (isChunked) send("${bytes.toString(16)}\r\n")
        getOutputStream().write(ByteArray(bytes))
        if (isChunked) send("\r\n0\r\n\r\n")
    }

    private fun InputStream.readHead(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = read()
            check(next >= 0) { "the connection was closed after: $head" }
            head.append(next.toChar())
        }
        return head.toString()
    }

    private companion object {
        const val CONNECTIONS = 6

        /** More than the socket buffers of both ends of a loopback connection hold. */
        const val BODY_BYTES = 12_000_000

        /** Netty allocates direct memory in chunks of 4 MiB. */
        const val MAXIMUM_HELD_BYTES = 2 * 4_194_304
        const val SETTLE_MILLIS = 500L
    }
}
