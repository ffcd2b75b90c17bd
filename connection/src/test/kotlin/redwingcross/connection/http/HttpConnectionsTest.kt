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
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** Exchanges with a server that writes exactly the bytes that a test gives it. */
class HttpConnectionsTest {
    private val group = NioEventLoopGroup(1)
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val party = RemoteParty(InetSocketAddress(server.inetAddress, server.localPort), "server")
    private var idleLimit = Int.MAX_VALUE
    private val connections = HttpConnections(
        group,
        MonotonicClock.system,
        ConnectionBounds(connectTimeout = 2.seconds, maximumIdle = 4),
    ) { idleLimit }
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

    private class Recorded : AnswerListener {
        val events = LinkedBlockingQueue<String>()

        override fun onHead(head: AnswerHead) = events.put("head ${head.status} ${head.headers.get("Id")}")

        override fun onData(bytes: ByteArray) = events.put("data ${bytes.decodeToString()}")

        override fun onEnd() = events.put("end")

        override fun onFailure(failure: ExchangeFailure) = events.put("failure $failure")

        fun next(): String? = events.poll(5, TimeUnit.SECONDS)
    }

    private fun send(id: String): Pair<Recorded, PendingExchange> {
        val recorded = Recorded()
        val head = RequestHead("GET", "/$id", DefaultHttpHeaders().add("Host", "h"))
        val pending = group.next().submit<PendingExchange> {
            connections.exchange(party, head, ByteArray(0), { it.headers.get("Id") == id }, recorded)
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

    private fun whole(id: String, body: String) =
        "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

    @Test
    fun `giving up an exchange that is over leaves the next one on its connection alone`() {
        val (first, finished) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(whole("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        val (second, _) = send("b")
        socket.awaitRequest()
        group.next().submit { finished.cancel() }.get()
        socket.answer(whole("b", "y"))
        assertEquals(listOf("head 200 b", "data y", "end"), List(3) { second.next() })
    }

    @Test
    fun `a party that accepts few connections keeps none that it can't bear`() {
        idleLimit = 1
        val (first, _) = send("a")
        val one = connection()
        one.awaitRequest()
        val (second, _) = send("b")
        val two = connection()
        two.awaitRequest()
        one.answer(whole("a", "x"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        two.answer(whole("b", "y"))
        assertEquals(listOf("head 200 b", "data y", "end"), List(3) { second.next() })
        one.soTimeout = 5000
        assertEquals(-1, one.getInputStream().read(), "the connection beyond the limit is ended")
    }

    @Test
    fun `giving up an exchange whose socket has just closed does no harm`() {
        val connected = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .handler(object : ChannelInboundHandlerAdapter() {})
            .connect(party.address)
            .sync()
        val failure = group.next().submit<Throwable?> {
            runCatching {
                connected.channel().close()
                connected.channel().closeWithReset()
            }.exceptionOrNull()
        }.get()
        assertNull(failure, "an exception here keeps the streams that come after it from being moved")
    }

    @Test
    fun `an extra answer of an earlier request is dropped and the right one is awaited`() {
        val (recorded, _) = send("b")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(whole("a", "late") + whole("b", "right"))
        assertEquals(listOf("head 200 b", "data right", "end"), List(3) { recorded.next() })
    }

    @Test
    fun `bytes after a whole answer end the connection`() {
        val (first, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer(whole("a", "x") + whole("a", "again"))
        assertEquals(listOf("head 200 a", "data x", "end"), List(3) { first.next() })
        send("b")
        connection().awaitRequest()
    }

    @Test
    fun `an answer without a length that ends with a reset is not whole`() {
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
    fun `an answer that is cut short of its length is not whole`() {
        val (recorded, _) = send("a")
        val socket = connection()
        socket.awaitRequest()
        socket.answer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\npart")
        assertEquals(listOf("head 200 a", "data part"), List(2) { recorded.next() })
        socket.close()
        assertEquals("failure CONNECTION_LOST", recorded.next())
    }

    @Test
    fun `an exchange that is given up tells its listener nothing`() {
        val (recorded, pending) = send("a")
        val socket = connection()
        socket.awaitRequest()
        group.next().submit { pending.cancel() }.get()
        assertEquals(-1, runCatching { socket.getInputStream().read() }.getOrDefault(-1))
        assertNull(recorded.events.poll())
    }
}
