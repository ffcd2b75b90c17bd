package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against request smuggling, requests without limits, undetected disconnects and responses that look complete
 * although they are not. Sends requests as raw bytes over a socket.
 */
class CallerListenerTest {
    private val group = NioEventLoopGroup(1)
    private val address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { free ->
        InetSocketAddress(free.inetAddress, free.localPort)
    }
    private val exchanges = LinkedBlockingQueue<CallerExchange>()
    private val listener = CallerListener(
        group,
        MonotonicClock.system,
        maximumHeadBytes = { 1000 },
        limits = { CallerConnectionLimits(bodyBytes = 100, headTimeout = 1.seconds, idleTimeout = 5.seconds) },
        onRefused = {},
        serve = exchanges::put,
    ).also { it.start(address) }

    @AfterTest
    fun close() {
        listener.stopAccepting()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun connect() = Socket(address.address, address.port).also { it.soTimeout = 5000 }

    private fun Socket.send(text: String) = getOutputStream().let {
        it.write(text.toByteArray())
        it.flush()
    }

    private fun Socket.statusLine(): String = getInputStream().bufferedReader().readLine().orEmpty()

    private fun refused(request: String): String = connect().use {
        it.send(request)
        it.statusLine()
    }

    private fun nextExchange() = assertNotNull(exchanges.poll(5, TimeUnit.SECONDS))

    @Test
    fun `ambiguous, oversized and incomplete requests are refused and not served`() {
        val smuggled = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        assertTrue("400" in refused(smuggled))
        assertTrue(
            "400" in refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"),
        )
        assertTrue("400" in refused("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"))
        assertTrue("413" in refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"))
        assertTrue("431" in refused("GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(2000)}\r\n\r\n"))
        assertTrue("408" in refused("GET / HTTP/1.1\r\nHost: h\r\n"))
        assertTrue(exchanges.isEmpty())
    }

    @Test
    fun `a caller that disconnects before its response is detected`() {
        val disconnected = LinkedBlockingQueue<Unit>()
        val socket = connect()
        socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        val exchange = nextExchange()
        group.next().submit { exchange.onDisconnect = { disconnected.put(Unit) } }.get()
        socket.close()
        assertNotNull(disconnected.poll(5, TimeUnit.SECONDS))
    }

    @Test
    fun `pipelined requests are served one at a time and in order`() {
        connect().use { socket ->
            socket.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            val first = nextExchange()
            assertEquals("/1", first.head.target)
            assertTrue(exchanges.isEmpty())
            group.next().submit { first.respond(200, DefaultHttpHeaders(), "a".toByteArray()) }.get()
            val second = nextExchange()
            assertEquals("/2", second.head.target)
        }
    }

    @Test
    fun `an aborted stream is not terminated like a complete one`() {
        connect().use { socket ->
            socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            val exchange = nextExchange()
            group.next().submit {
                exchange.beginStream(200, DefaultHttpHeaders())
                exchange.write("id: 1\n\n".toByteArray())
            }.get()
            assertTrue("200" in socket.statusLine())
            group.next().submit { exchange.abort() }.get()
            val rest = runCatching { socket.getInputStream().readBytes().decodeToString() }.getOrDefault("")
            assertTrue("0\r\n\r\n" !in rest, rest)
        }
    }
}
