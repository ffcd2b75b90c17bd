package redwingcross.connection.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.io.InputStream
import java.net.Socket
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests and responses that are lost because the process stops. */
class StopCloseTest {
    private val fixture = ListenerFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun InputStream.readStream() {
        readHead()
        readHead()
    }

    private fun streamAcrossStop(exchange: CallerExchange) {
        fixture.onLoop {
            exchange.beginStream(200, DefaultHttpHeaders())
            exchange.write("event".toByteArray())
            fixture.listener.closeGracefully()
            exchange.endStream()
        }
    }

    @Test
    fun `the request after a stream that did not announce the end of the connection is served`() {
        fixture.connect().use { socket ->
            socket.send(GET)
            streamAcrossStop(fixture.nextExchange())
            socket.getInputStream().readStream()
            socket.send(GET)
            fixture.respond(fixture.nextExchange())
            assertTrue("connection: close" in socket.getInputStream().readHead().lowercase())
            assertEquals(-1, socket.getInputStream().read())
        }
    }

    @Test
    fun `pipelined requests that were read whole before a stop are answered`() {
        fixture.connect().use { socket ->
            socket.send(GET + GET + GET)
            val first = fixture.nextExchange()
            sleep(SETTLE)
            fixture.onLoop(fixture.listener::closeGracefully)
            fixture.respond(first)
            val second = fixture.nextExchange()
            fixture.onLoop {
                second.beginStream(200, DefaultHttpHeaders())
                second.endStream()
            }
            val last = fixture.nextExchange()
            fixture.onLoop {
                last.closeAfterResponse()
                last.respond(503, DefaultHttpHeaders(), ByteArray(0))
            }
            val heads = List(4) { socket.getInputStream().readHead().lowercase() }
            assertTrue("200" in heads[0] && "200" in heads[1] && "503" in heads[3], "$heads")
            assertEquals(listOf(3), heads.indices.filter { "connection: close" in heads[it] })
            assertEquals(-1, socket.getInputStream().read())
        }
    }

    @Test
    fun `a refusal by a stopping process leaves the connection open for a request that was read whole`() {
        fixture.connect().use { socket ->
            socket.send(GET + GET)
            val first = fixture.nextExchange()
            sleep(SETTLE)
            fixture.onLoop(first::closeAfterResponse)
            fixture.respond(first)
            fixture.respond(fixture.nextExchange())
            repeat(2) { assertTrue("200" in socket.getInputStream().readHead()) }
        }
    }

    @Test
    fun `a head that partly arrived during a response is not taken for an idle connection`() {
        val parts = listOf(GET.take(3), GET.take(20), GET.dropLast(1)).flatMap { listOf(GET to it, GET + GET to it) }
        val sockets = parts.map { (whole, part) ->
            fixture.connect().also { socket ->
                socket.send(whole + part.take(1))
                val first = fixture.nextExchange()
                socket.send(part.drop(1))
                sleep(SETTLE)
                fixture.respond(first)
                socket.getInputStream().readHead()
                if (whole.length > GET.length) {
                    fixture.respond(fixture.nextExchange())
                    socket.getInputStream().readHead()
                }
            }
        }
        fixture.onLoop(fixture.listener::closeGracefully)
        for ((socket, sent) in sockets zip parts) {
            socket.send(GET.drop(sent.second.length))
            fixture.respond(fixture.nextExchange())
            assertTrue("connection: close" in socket.getInputStream().readHead().lowercase())
            socket.close()
        }
    }

    private fun assertHeld(isHeld: Boolean) {
        sleep(SETTLE)
        fixture.onLoop { assertEquals(isHeld, fixture.listener.holdsRequests) }
    }

    @Test
    fun `queued requests and parts of requests are held until they are answered`() {
        val post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        for (sent in listOf(GET.take(20), post.dropLast(2))) {
            fixture.connect().use { socket ->
                assertHeld(false)
                socket.send(sent)
                assertHeld(true)
            }
        }
        fixture.connect().use { socket ->
            assertHeld(false)
            socket.send(GET + post.dropLast(2))
            fixture.respond(fixture.nextExchange())
            assertHeld(true)
            socket.send(post.takeLast(2) + GET)
            val second = fixture.nextExchange()
            fixture.onLoop {
                second.respond(200, DefaultHttpHeaders(), ByteArray(0))
                assertTrue(fixture.listener.holdsRequests, "a request is queued")
            }
            fixture.respond(fixture.nextExchange())
            assertHeld(false)
            socket.send("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n")
            assertHeld(false)
        }
    }

    @Test
    fun `an empty line after a request does not keep a connection open`() {
        fixture.connect().use { socket ->
            socket.send(GET + "\r\n")
            fixture.respond(fixture.nextExchange())
            socket.getInputStream().readHead()
            sleep(SETTLE)
            fixture.onLoop(fixture.listener::closeGracefully)
            assertEquals(HeldRequest.NONE, fixture.nextClose().request)
        }
    }

    @Test
    fun `a connection is closed soon after a stream that ended during a stop`() {
        fixture.connect().use { socket ->
            socket.soTimeout = 1500
            socket.send(GET)
            streamAcrossStop(fixture.nextExchange())
            socket.getInputStream().readStream()
            assertEquals(-1, socket.getInputStream().read())
        }
    }

    @Test
    fun `a connection that its caller closed after a stream is not reported as closed by the process`() {
        fixture.connect().use { socket ->
            socket.send(GET)
            streamAcrossStop(fixture.nextExchange())
            socket.getInputStream().readStream()
        }
        sleep(SETTLE * 3)
        assertTrue(fixture.closes.isEmpty(), "${fixture.closes}")
    }

    @Test
    fun `a response that its caller has not read yet is complete although the process begins to stop`() {
        fixture.connect().use { socket ->
            socket.send(GET)
            fixture.respond(fixture.nextExchange(), ByteArray(ANSWER_BYTES))
            sleep(SETTLE)
            fixture.onLoop(fixture.listener::closeGracefully)
            socket.getInputStream().readHead()
            assertEquals(ANSWER_BYTES, socket.getInputStream().readNBytes(ANSWER_BYTES).size)
            assertEquals(-1, socket.getInputStream().read())
        }
    }

    @Test
    fun `long requests that lie unread are served before the process ends`() {
        val sockets = List(2) { fixture.connect() }
        sleep(SETTLE)
        fixture.delayLoop(
            afterwards = {
                fixture.listener.receivePending()
                assertEquals(2, fixture.exchanges.size)
            },
        ) {
            for (socket in sockets) {
                socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: $BODY_BYTES\r\n\r\n")
                socket.getOutputStream().write(ByteArray(BODY_BYTES))
            }
            sleep(SETTLE)
        }
        sockets.forEach(Socket::close)
    }

    /** Sends requests until neither the listener nor the buffers of the sockets take more; returns their bytes. */
    private fun SocketChannel.fill(): Long {
        val requests = GET.repeat(1000).toByteArray()
        var sent = 0L
        var sentBefore = -1L
        while (sent > sentBefore) {
            sentBefore = sent
            while (true) sent += write(ByteBuffer.wrap(requests)).takeIf { it > 0 } ?: break
            sleep(1.seconds)
        }
        return sent
    }

    @Test
    fun `a caller that has filled its queue of requests is not read further when the process stops`() {
        fixture.connectChannel().use { channel ->
            channel.configureBlocking(false)
            assertTrue(channel.fill() > 0)
            fixture.onLoop(fixture.listener::receivePending)
            assertEquals(0, channel.fill())
        }
    }

    @Test
    fun `a connection that was not accepted yet is served when the listener stops`() {
        fixture.connect().use { socket ->
            fixture.delayLoop(afterwards = fixture.listener::stopAccepting) {
                repeat(CONNECTIONS) { fixture.connect().send(GET) }
                socket.send(GET)
                sleep(SETTLE)
            }
            repeat(CONNECTIONS + 1) { fixture.respond(fixture.nextExchange()) }
            assertTrue("200" in socket.getInputStream().readHead())
        }
    }

    private companion object {
        /** More than the socket buffers of both ends of a loopback connection hold. */
        const val ANSWER_BYTES = 30_000_000

        /** More than one read of a connection takes, and less than its socket buffers hold. */
        const val BODY_BYTES = 900_000

        /** More than one read of the listening socket accepts. */
        const val CONNECTIONS = 40
        val SETTLE = 200.milliseconds
    }
}
