package redwingcross.connection.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.io.IOException
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against the last response of a connection that is lost, because closing a connection with unread bytes resets
 * it and discards what has not reached the caller.
 */
class LingeringCloseTest {
    private val fixture = ListenerFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun refusedAfter(bytes: Int, head: String): String = fixture.connect().use { socket ->
        socket.send(head)
        sleep(SETTLE)
        repeat(bytes / CHUNK.size) { socket.getOutputStream().write(CHUNK) }
        socket.getInputStream().readHead().also { assertEquals(-1, socket.getInputStream().read()) }
    }

    @Test
    fun `a caller that sends the rest of a refused request receives the refusal`() {
        val tooLong = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"
        assertTrue("413" in refusedAfter(3_000_000, tooLong))
        assertTrue("431" in refusedAfter(3_000_000, "GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(2000)}"))
        assertTrue("400" in refusedAfter(3_000_000, "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"))
    }

    @Test
    fun `a caller that sends further bytes receives the whole last response`() {
        fixture.connect().use { socket ->
            socket.send(GET.replace("Host", "Connection: close\r\nHost"))
            val exchange = fixture.nextExchange()
            val answer = { exchange.respond(200, DefaultHttpHeaders(), ByteArray(ANSWER_BYTES)) }
            fixture.delayLoop(afterwards = answer) {
                socket.send(GET)
                sleep(SETTLE)
            }
            sleep(SETTLE)
            val input = socket.getInputStream()
            assertTrue("200" in input.readHead())
            assertEquals(ANSWER_BYTES, input.readNBytes(ANSWER_BYTES).size)
            assertEquals(-1, input.read())
            fixture.onLoop { assertTrue(!fixture.listener.hasUnsentBytes) }
            assertTrue(fixture.exchanges.isEmpty(), "a request was served after Connection: close")
        }
    }

    private fun assertWholeAfterLateBytes(reason: CallerCloseReason, closeIdle: () -> Unit) {
        fixture.connect().use { socket ->
            socket.send(GET)
            fixture.respond(fixture.nextExchange(), ByteArray(ANSWER_BYTES))
            sleep(SETTLE)
            closeIdle()
            assertEquals(reason, fixture.nextClose().reason)
            fixture.onLoop { assertTrue(!fixture.listener.hasUnsentBytes && !fixture.listener.holdsRequests) }
            socket.send(GET)
            sleep(SETTLE)
            val input = socket.getInputStream()
            assertTrue("200" in input.readHead())
            assertEquals(ANSWER_BYTES, input.readNBytes(ANSWER_BYTES).size)
            assertEquals(-1, input.read())
            assertTrue(fixture.exchanges.isEmpty(), "a request was served after the close")
        }
    }

    @Test
    fun `a caller that sends bytes to a connection closed as idle or for a stop receives the whole last response`() {
        fixture.limits = fixture.limits.copy(idleTimeout = SETTLE)
        assertWholeAfterLateBytes(CallerCloseReason.IDLE) {}
        fixture.limits = fixture.limits.copy(idleTimeout = 5.seconds)
        assertWholeAfterLateBytes(CallerCloseReason.STOP) { fixture.onLoop(fixture.listener::closeGracefully) }
    }

    @Test
    fun `a caller that does not close the connection, or sends without end, is cut off`() {
        fixture.connect().use { socket ->
            socket.send(GET.replace("Host", "Connection: close\r\nHost"))
            fixture.respond(fixture.nextExchange())
            socket.getInputStream().readHead()
            sleep(LingeringClose.MAXIMUM_SILENCE + 1500.milliseconds)
            assertCutOff(socket, ENDLESS_BYTES)
        }
        fixture.connect().use { socket ->
            socket.send("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n")
            assertCutOff(socket, LingeringClose.MAXIMUM_BYTES.toInt() + ENDLESS_BYTES)
        }
    }

    @Test
    fun `callers that leave refused connections open use up a bounded number of them, and the oldest are cut off`() {
        val bounded = ListenerFixture(clock = { 100.seconds }, maximumLingering = 2)
        val sockets = List(4) {
            bounded.connect().also { socket ->
                socket.send("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n")
                assertTrue("400" in socket.getInputStream().readHead())
                assertEquals(-1, socket.getInputStream().read())
            }
        }
        val isCutOff = sockets.map { socket ->
            // The first bytes that reach a closed connection reset it, and the next ones fail.
            runCatching { repeat(2) { socket.send(GET).also { sleep(SETTLE) } } }.isFailure
        }
        assertEquals(listOf(true, true, false, false), isCutOff)
        sockets.forEach(Socket::close)
        bounded.close()
    }

    private fun assertCutOff(socket: Socket, bytes: Int) {
        assertFailsWith<IOException>("$bytes bytes were accepted") {
            repeat(bytes / CHUNK.size) { socket.getOutputStream().write(CHUNK) }
        }
    }

    private companion object {
        /** Less than a socket buffer holds, so that the response is written at once and still unread by the caller. */
        const val ANSWER_BYTES = 1_000_000

        /** More than the socket buffers of both ends of a loopback connection hold. */
        const val ENDLESS_BYTES = 16_000_000
        val CHUNK = ByteArray(10_000) { 'x'.code.toByte() }
        val SETTLE = 200.milliseconds
    }
}
