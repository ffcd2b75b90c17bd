package redwingcross.connection.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.request.MonotonicClock
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against responses that reach the wrong exchange, incomplete responses that are taken for complete ones, and
 * idle connections beyond the limit. The server sends exactly the bytes that a test passes to it.
 */
class HttpConnectionsTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val endpoint = RemoteEndpoint(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private var idleLimit = Int.MAX_VALUE
    private val connections = HttpConnections(
        group,
        MonotonicClock.system,
        OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4),
        idleLimit = { idleLimit },
    )
    private val accepted = LinkedBlockingQueue<Socket>()

    init {
        thread(isDaemon = true) {
            runCatching { while (true) accepted.put(server.accept()) }
        }
    }

    @AfterTest
    fun close() {
        server.close()
        accepted.forEach(Socket::close)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private class RecordingListener : ResponseListener {
        val events = LinkedBlockingQueue<String>()

        override fun onHead(head: ResponseHead) = events.put("head ${head.status} ${head.headers.get("Id")}")

        override fun onData(bytes: ByteArray) = events.put("data ${bytes.decodeToString()}")

        override fun onEnd() = events.put("end")

        override fun onFailure(failure: ExchangeFailure) = events.put("failure $failure")

        override fun onError(cause: Throwable) = throw cause

        fun next(): String? = events.poll(5, TimeUnit.SECONDS)
    }

    private fun send(id: String): Pair<RecordingListener, PendingExchange> {
        val recorded = RecordingListener()
        val head = RequestHead("GET", "/$id", DefaultHttpHeaders().add("Host", "h"))
        val pending = group.next().submit<PendingExchange> {
            connections.exchange(endpoint, head, ByteArray(0), { it.headers.get("Id") == id }, recorded)
        }.get()
        return recorded to pending
    }

    private fun connection(): Socket = checkNotNull(accepted.poll(5, TimeUnit.SECONDS))

    private fun Socket.awaitRequest() {
        val reader = getInputStream()
        var last = ""
        while (!last.endsWith("\r\n\r\n")) last += reader.read().toChar()
    }

    private fun Socket.answer(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    /** Reads to the end of the input; a reset counts as its end. */
    private fun Socket.endOfInput(): Int = runCatching { getInputStream().read() }.getOrElse {
        if (it is SocketTimeoutException) throw it
        -1
    }

    private fun completeResponse(id: String, body: String) =
        "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

    @Test
    fun `cancelling a finished exchange does not affect the next exchange on its connection`() {
        val (first, finished) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        val (second, _) = send("b")
        socket.awaitRequest()
        group.next().submit { finished.cancel() }.get()
        socket.answer(completeResponse("b", "y"))
        assertEquals(listOf("head 200 b", "data y", "end"), List(3) { second.next() })
    }

    @Test
    fun `no more idle connections are kept than the remote endpoint accepts`() {
        idleLimit = 1
        val (first, _) = send("a")
        val one = connection()
        one.awaitRequest()
        val (second, _) = send("b")
        val two = connection()
        two.awaitRequest()
        one.answer(completeResponse("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        two.answer(completeResponse("b", "y"))
        assertEquals(listOf("head 200 b", "data y", "end"), List(3) { second.next() })
        one.soTimeout = 5000
        assertEquals(-1, one.getInputStream().read(), "the connection beyond the limit must be closed")
    }

    @Test
    fun `closing with a reset does not throw if the socket has just been closed`() {
        val connected = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .handler(object : ChannelInboundHandlerAdapter() {})
            .connect(endpoint.address)
            .sync()
        val failure = group.next().submit<Throwable?> {
            runCatching {
                connected.channel().close()
                connected.channel().closeWithReset()
            }.exceptionOrNull()
        }.get()
        assertNull(failure, "an exception here would prevent later streams from being moved to another back end")
    }

    @Test
    fun `a response to an earlier request is discarded and the matching one is awaited`() {
        val (recorded, _) = send("b")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "late") + completeResponse("b", "right"))
        assertEquals(listOf("head 200 b", "data right", "end"), List(3) { recorded.next() })
    }

    @Test
    fun `bytes after a complete response close the connection`() {
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "x") + completeResponse("a", "again"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        send("b")
        connection().awaitRequest()
    }

    @Test
    fun `part of an extra response on an idle connection does not become the head of the next response`() {
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        socket.answer("HTTP/1.1 503 Full\r\nDeclined: 1\r\n")
        socket.soTimeout = 5000
        assertEquals(-1, socket.endOfInput(), "a connection with unexpected bytes must be closed")
        send("b")
        connection().awaitRequest()
    }

    @Test
    fun `part of an extra response behind a response does not become the head of the next response`() {
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "x") + "HTTP/1.1 503 Full\r\nDeclined: 1\r\n")
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        socket.soTimeout = 5000
        assertEquals(-1, socket.endOfInput(), "a connection with unexpected bytes must be closed")
    }

    @Test
    fun `part of an extra response that is read after the next request was sent is no response to it`() {
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(completeResponse("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        val (second, _) = send("b")
        socket.awaitRequest()
        socket.answer("HTTP/1.1 503 Full\r\nDeclined: 1\r\n" + completeResponse("b", "y"))
        assertEquals("failure MALFORMED", second.next())
    }

    @Test
    fun `a head that an incomplete status line or field precedes is no response to the next request`() {
        for (part in listOf("HTTP/1.1 503 Fu", "HTTP/1.1 503 Full\r\nDeclined: ")) {
            val (first, _) = send("a")
            val socket = connection()
            socket.awaitRequest()
            socket.answer(completeResponse("a", "x"))
            assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
            val (second, _) = send("b")
            socket.awaitRequest()
            socket.answer(part + completeResponse("b", "y"))
            assertEquals("failure MALFORMED", second.next(), part)
        }
    }

    @Test
    fun `two copies of an earlier refusal that are read after the next request was sent are discarded`() {
        val refusal = "HTTP/1.1 503 Full\r\nId: a\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n"
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(refusal)
        assertEquals(listOf("head 503 a", "end"), List(2) { first.next() })
        val (second, _) = send("b")
        socket.awaitRequest()
        socket.answer(refusal + "HTTP/1.1 102 Processing\r\n\r\n" + refusal + completeResponse("b", "y"))
        assertEquals(listOf("head 200 b", "data y", "end"), List(3) { second.next() })
    }

    @Test
    fun `a response without a length ends with its connection, which carries no other request`() {
        val fields = listOf("", "Connection: keep-alive\r\n", "Connection: close\r\n")
        for (start in listOf("HTTP/1.1", "HTTP/1.0")) {
            for (field in fields) {
                val (first, _) = send("a")
                val socket = connection()
                socket.awaitRequest()
                socket.answer("$start 200 OK\r\nId: a\r\n$field\r\nbody")
                assertEquals(listOf("head 200 a", "data body"), List(2) { first.next() }, "$start $field")
                assertNull(first.events.poll(), "the response must not end before its connection")
                socket.close()
                assertEquals("end", first.next(), "$start $field")
                send("b")
                connection().awaitRequest()
            }
        }
    }

    @Test
    fun `the connection of a response that announces its close carries no other request`() {
        val heads = listOf("HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n")
        for (start in heads) {
            val (first, _) = send("a")
            val socket = connection()
            socket.awaitRequest()
            socket.answer("${start}Id: a\r\nContent-Length: 1\r\n\r\nx")
            assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() }, start)
            send("b")
            connection().awaitRequest()
        }
    }

    @Test
    fun `a response without a length that ends with a reset is incomplete`() {
        val (recorded, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
        assertEquals(listOf("head 200 a", "data part"), List(2) { recorded.next() })
        socket.setSoLinger(true, 0)
        socket.close()
        assertEquals("failure CONNECTION_LOST", recorded.next())
    }

    @Test
    fun `a response shorter than its Content-Length is incomplete`() {
        val (recorded, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\npart")
        assertEquals(listOf("head 200 a", "data part"), List(2) { recorded.next() })
        socket.close()
        assertEquals("failure CONNECTION_LOST", recorded.next())
    }

    @Test
    fun `a cancelled exchange does not notify its listener`() {
        val (recorded, pending) = send("a")
        val socket = connection()
        socket.awaitRequest()
        group.next().submit { pending.cancel() }.get()
        assertEquals(-1, runCatching { socket.getInputStream().read() }.getOrDefault(-1))
        assertNull(recorded.events.poll())
    }

    @Test
    fun `a response whose status is not three digits from 100 to 599 is malformed`() {
        val statuses = listOf("000", "0 -", "099", "20", "2000", "600", "999", "0200 OK", "+200 OK", "-200", "2x0 OK")
        for (status in statuses) {
            val (recorded, _) = send("a")
            val socket = connection()
            socket.awaitRequest()
            socket.answer("HTTP/1.1 $status\r\nId: a\r\nContent-Length: 1\r\n\r\nx")
            assertEquals("failure MALFORMED", recorded.next(), status)
        }
    }

    @Test
    fun `a response with any valid status is passed on, also without a reason`() {
        for (status in listOf("200", "299 ", "599 Other")) {
            val (recorded, _) = send("a")
            val socket = connection()
            socket.awaitRequest()
            socket.answer("HTTP/1.1 $status\r\nId: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")
            assertEquals("head ${status.take(3)} a", recorded.next(), status)
        }
    }
}
