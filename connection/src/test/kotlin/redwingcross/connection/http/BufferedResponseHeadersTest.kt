package redwingcross.connection.http

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against a response whose headers are lost with the collection of its body. */
class BufferedResponseHeadersTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `the headers of a response are passed on with its body`() {
        val answered = assertIs<CallResult.Answered>(resultOf("HTTP/1.1 200 OK\r\nStore-Era: 4"))
        assertEquals("4", answered.headers.get("store-era"))
        assertEquals("ok", answered.body.decodeToString())
    }

    /** Guards against an order or a store call that counts as answered by bytes that are no answer. */
    @Test
    fun `a call whose response has an invalid status is not answered`() {
        assertEquals(CallResult.NoAnswer(ExchangeFailure.MALFORMED), resultOf("HTTP/1.1 000"))
    }

    private fun resultOf(responseHead: String): CallResult? {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                val reader = socket.getInputStream()
                var last = ""
                while (!last.endsWith("\r\n\r\n")) last += reader.read().toChar()
                socket.getOutputStream().write("$responseHead\r\nContent-Length: 2\r\n\r\nok".encodeToByteArray())
                Thread.sleep(SETTLE_MILLIS)
            }
        }
        val results = LinkedBlockingQueue<CallResult>()
        val loop = group.next() as EventLoop
        loop.execute {
            val limits = OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4)
            val client = BufferedHttpClient(HttpConnections(group, MonotonicClock.system, limits), loop)
            val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
            val head = RequestHead("GET", "/", DefaultHttpHeaders().add("Host", "h"))
            client.call(endpoint, head, ByteArray(0), 10.seconds) { results.put(it) }
        }
        return results.poll(20, TimeUnit.SECONDS)
    }

    private companion object {
        /** The server closes its connection only after the client has read the response. */
        const val SETTLE_MILLIS = 300L
    }
}
