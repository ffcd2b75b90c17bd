package redwingcross.connection.http

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against responses without a length that are taken for complete although the end of their connection was not
 * seen, and against complete ones that are lost because the server doesn't read the rest of the request.
 */
class ResponseEndTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private val limits = OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4)
    private val connections = HttpConnections(group, MonotonicClock.system, limits)
    private val events = LinkedBlockingQueue<String>()

    private val listener = object : ResponseListener {
        override fun onHead(head: ResponseHead) = events.put("head ${head.status}")

        override fun onData(bytes: ByteArray) = events.put("data ${bytes.decodeToString()}")

        override fun onEnd() = events.put("end")

        override fun onFailure(failure: ExchangeFailure) = events.put("failure $failure")

        override fun onError(cause: Throwable) = events.put("error $cause")
    }

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Sends a request that the buffers of the connection don't hold, and reads a part of it at the server. */
    private fun sendLongRequest(): Socket {
        val head = RequestHead("POST", "/", DefaultHttpHeaders().add("Host", "h"))
        loop.submit { connections.exchange(endpoint, head, ByteArray(REQUEST_BYTES), { true }, listener) }.get()
        val socket = server.accept()
        socket.getInputStream().readNBytes(READ_BYTES)
        Thread.sleep(SETTLING_MILLIS)
        return socket
    }

    /** Runs [action] while the event loop is busy, so that it sees all that was received and all errors at once. */
    private fun whileLoopIsBusy(action: () -> Unit) {
        val isDone = CountDownLatch(1)
        loop.execute { isDone.await() }
        action()
        Thread.sleep(SETTLING_MILLIS)
        isDone.countDown()
    }

    private fun Socket.send(text: String): Unit = getOutputStream().write(text.toByteArray())

    private fun Socket.reset() {
        setSoLinger(true, 0)
        close()
    }

    private fun outcome(): List<String> = generateSequence { assertNotNull(events.poll(5, TimeUnit.SECONDS)) }
        .takeWhileInclusive { it != "end" && !it.startsWith("failure") && !it.startsWith("error") }

    private fun Sequence<String>.takeWhileInclusive(predicate: (String) -> Boolean): List<String> {
        val taken = ArrayList<String>()
        for (element in this) {
            taken += element
            if (!predicate(element)) break
        }
        return taken
    }

    @Test
    fun `a response without a length that is reset while the request waits to be written is incomplete`() {
        val heads = listOf("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity")
        for (head in heads) {
            val socket = sendLongRequest()
            whileLoopIsBusy {
                socket.send("$head\r\n\r\npart")
                socket.reset()
            }
            assertEquals("failure CONNECTION_LOST", outcome().last(), head)
        }
    }

    @Test
    fun `a response without a length whose reset shows at a write after its beginning was read is incomplete`() {
        val socket = sendLongRequest()
        socket.send("HTTP/1.1 200 OK\r\n\r\npart")
        assertEquals(listOf("head 200", "data part"), List(2) { events.poll(5, TimeUnit.SECONDS) })
        whileLoopIsBusy { socket.reset() }
        assertEquals(listOf("failure CONNECTION_LOST"), outcome())
    }

    @Test
    fun `a response that its server closes in order is complete although the rest of the request can't be written`() {
        val responses = listOf("HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
        for (response in responses) {
            val socket = sendLongRequest()
            whileLoopIsBusy {
                socket.send(response)
                socket.shutdownOutput()
                socket.close()
            }
            assertEquals(listOf("head 200", "data whole", "end"), outcome(), response)
        }
    }

    @Test
    fun `a response whose length is not reached when the connection is reset at a write is incomplete`() {
        for (framing in listOf("Content-Length: 6\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole")) {
            val socket = sendLongRequest()
            whileLoopIsBusy {
                socket.send("HTTP/1.1 200 OK\r\n$framing")
                socket.reset()
            }
            assertTrue(outcome().last().startsWith("failure"), framing)
        }
    }

    private companion object {
        const val REQUEST_BYTES = 16_000_000
        const val READ_BYTES = 100_000

        /** Time for bytes and resets to arrive on loopback. */
        const val SETTLING_MILLIS = 100L
    }
}
