package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against servers in trouble that send bytes without end until the caller closes: the memory of the process must
 * stay bounded and the connection must be closed. The server writes [prefix] and then the same bytes again and again.
 */
class EndlessResponseTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private val connections =
        HttpConnections(
            group,
            MonotonicClock.system,
            OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4),
        )
    private val written = LinkedBlockingQueue<Long>()

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Serves one connection; [written] receives the number of bytes sent until the peer closed it. */
    private fun serve(prefix: String, repeated: String) = thread(isDaemon = true) {
        server.accept().use { socket ->
            socket.awaitRequest()
            val output = socket.getOutputStream()
            var count = 0L
            try {
                output.write(prefix.encodeToByteArray())
                val block = repeated.repeat(maxOf(1, BLOCK_BYTES / repeated.length)).encodeToByteArray()
                while (count < LIMIT_BYTES) {
                    output.write(block)
                    count += block.size
                }
            } catch (_: IOException) {
                // The connection was closed by the peer.
            }
            written.put(count)
        }
    }

    private fun Socket.awaitRequest() {
        val reader = getInputStream()
        var last = ""
        while (!last.endsWith("\r\n\r\n")) last += reader.read().toChar()
    }

    private fun call(): CallResult {
        val results = LinkedBlockingQueue<CallResult>()
        val loop = group.next()
        loop.execute {
            val head = RequestHead("GET", "/", DefaultHttpHeaders().add("Host", "h"))
            BufferedHttpClient(
                connections,
                loop as io.netty.channel.EventLoop,
            ).call(endpoint, head, ByteArray(0), 30.seconds) {
                results.put(it)
            }
        }
        return checkNotNull(results.poll(20, TimeUnit.SECONDS)) { "the call did not end" }
    }

    private fun assertClosedEarly() {
        val count = checkNotNull(written.poll(20, TimeUnit.SECONDS)) { "the connection was not closed" }
        assertTrue(count < LIMIT_BYTES, "$count bytes were accepted")
    }

    @Test
    fun `a body without end and without length ends the call`() {
        serve("HTTP/1.1 200 OK\r\n\r\n", "x")
        assertEquals(CallResult.NoAnswer(ExchangeFailure.MALFORMED), call())
        assertClosedEarly()
    }

    @Test
    fun `chunks without end end the call`() {
        serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")
        assertEquals(CallResult.NoAnswer(ExchangeFailure.MALFORMED), call())
        assertClosedEarly()
    }

    @Test
    fun `a head without end ends the call`() {
        serve("HTTP/1.1 200 OK\r\n", "Field: value\r\n")
        assertEquals(CallResult.NoAnswer(ExchangeFailure.MALFORMED), call())
        assertClosedEarly()
    }

    @Test
    fun `interim responses without end end the call`() {
        serve("", "HTTP/1.1 102 Processing\r\n\r\n")
        assertEquals(CallResult.NoAnswer(ExchangeFailure.MALFORMED), call())
        assertClosedEarly()
    }

    @Test
    fun `a response without end that belongs to no exchange closes the connection`() {
        serve("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x")
        val failures = LinkedBlockingQueue<ExchangeFailure>()
        val listener = object : ResponseListener {
            override fun onHead(head: ResponseHead) = Unit

            override fun onData(bytes: ByteArray) = Unit

            override fun onEnd() = Unit

            override fun onFailure(failure: ExchangeFailure) = failures.put(failure)

            override fun onError(cause: Throwable) = throw cause
        }
        group.next().execute {
            val head = RequestHead("GET", "/", DefaultHttpHeaders().add("Host", "h"))
            connections.exchange(endpoint, head, ByteArray(0), { it.headers.get("Id") == "own" }, listener)
        }
        assertEquals(ExchangeFailure.MALFORMED, failures.poll(20, TimeUnit.SECONDS))
        assertClosedEarly()
    }

    private companion object {
        const val BLOCK_BYTES = 65_536
        const val LIMIT_BYTES = 268_435_456L
    }
}
