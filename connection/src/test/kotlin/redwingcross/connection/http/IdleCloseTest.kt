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

/** Guards against connections that are closed as idle although the caller may send, or has sent, a request. */
class IdleCloseTest {
    private val fixture = ListenerFixture()
    private val initialLimits = fixture.limits

    @AfterTest
    fun close() = fixture.close()

    private fun connectAndServe(): Socket = fixture.connect().also {
        it.send(GET)
        fixture.respond(fixture.nextExchange())
        it.getInputStream().readHead()
    }

    private fun Socket.assertServed(): String {
        fixture.respond(fixture.nextExchange())
        val head = getInputStream().readHead()
        assertTrue("200" in head, head)
        return head
    }

    @Test
    fun `a shorter idle time leaves connections open whose wait began before it`() {
        connectAndServe().use { socket ->
            fixture.limits = fixture.limits.copy(idleTimeout = 300.milliseconds)
            sleep(1500.milliseconds)
            socket.send(GET)
            socket.assertServed()
        }
    }

    @Test
    fun `a request that arrived during a pause is served although the idle time is over`() {
        fixture.limits = fixture.limits.copy(idleTimeout = SHORT)
        connectAndServe().use { socket ->
            fixture.delayLoop(afterwards = fixture::checkTimeouts) {
                socket.send(GET)
                sleep(PAUSE)
            }
            socket.assertServed()
        }
    }

    @Test
    fun `a request that arrived during a pause is served although the process has begun to stop`() {
        connectAndServe().use { socket ->
            fixture.delayLoop(afterwards = fixture.listener::closeGracefully) {
                socket.send(GET)
                sleep(SETTLE)
            }
            assertTrue("connection: close" in socket.assertServed().lowercase())
        }
    }

    @Test
    fun `the rest of a request that arrived during a pause is served although the time for it is over`() {
        fixture.limits = fixture.limits.copy(headTimeout = SHORT, idleTimeout = SHORT)
        val body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        for (sentBefore in listOf(20, body.length - 2)) {
            fixture.connect().use { socket ->
                socket.send(body.take(sentBefore))
                sleep(SETTLE)
                fixture.delayLoop(afterwards = fixture::checkTimeouts) {
                    socket.send(body.drop(sentBefore))
                    sleep(PAUSE)
                }
                socket.assertServed()
            }
        }
    }

    @Test
    fun `a request whose body was within the limit when it began is served after the limit is lowered`() {
        fixture.connect().use { socket ->
            socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf")
            sleep(SETTLE)
            fixture.limits = fixture.limits.copy(bodyBytes = 4)
            socket.send("half")
            socket.assertServed()
        }
    }

    @Test
    fun `requests that were sent before a limit was lowered are served behind another response`() {
        val body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678"
        for (sentBefore in listOf(body.length, body.length - 4, 20)) {
            fixture.limits = initialLimits
            fixture.connect().use { socket ->
                socket.send(GET + body.take(sentBefore))
                val first = fixture.nextExchange()
                sleep(SETTLE)
                fixture.limits = fixture.limits.copy(bodyBytes = 4)
                fixture.respond(first)
                socket.getInputStream().readHead()
                socket.send(body.drop(sentBefore))
                socket.assertServed()
            }
        }
    }

    @Test
    fun `a request that was read after a limit was lowered is served if it was sent before`() {
        fixture.connect().use { socket ->
            socket.send(GET)
            fixture.respond(fixture.nextExchange())
            socket.getInputStream().readHead()
            fixture.delayLoop(afterwards = { fixture.limits = fixture.limits.copy(bodyBytes = 4) }) {
                socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678")
                sleep(SETTLE)
            }
            socket.assertServed()
        }
    }

    @Test
    fun `a head within a limit that was raised is served on an open connection`() {
        connectAndServe().use { socket ->
            fixture.maximumHeadBytes = 4000
            for (length in listOf(2000, 3500)) {
                val head = "GET / HTTP/1.1\r\nHost: h\r\nLong: ${"x".repeat(length)}\r\n\r\n"
                socket.send(head)
                socket.assertServed()
                socket.send(head.take(length))
                sleep(SETTLE)
                socket.send(head.drop(length))
                socket.assertServed()
            }
        }
    }

    @Test
    fun `a caller that pauses in a response that began under a longer idle time receives all of it`() {
        fixture.connect().use { socket ->
            socket.send(GET)
            val exchange = fixture.nextExchange()
            fixture.limits = fixture.limits.copy(idleTimeout = SHORT)
            fixture.respond(exchange, ByteArray(ANSWER_BYTES))
            sleep(PAUSE * 2)
            val input = socket.getInputStream()
            input.readHead()
            assertEquals(ANSWER_BYTES, input.readNBytes(ANSWER_BYTES).size)
        }
    }

    @Test
    fun `a caller that reads a long response slowly receives all of it`() {
        fixture.limits = fixture.limits.copy(idleTimeout = 1.seconds)
        fixture.connect().use { socket ->
            socket.send(GET)
            fixture.respond(fixture.nextExchange(), ByteArray(ANSWER_BYTES))
            val input = socket.getInputStream()
            input.readHead()
            repeat(ANSWER_BYTES / STEP_BYTES) {
                assertEquals(STEP_BYTES, input.readNBytes(STEP_BYTES).size)
                sleep(SETTLE)
            }
        }
    }

    @Test
    fun `a caller that does not read its response is cut off after the idle time`() {
        fixture.limits = fixture.limits.copy(idleTimeout = SHORT)
        fixture.connect().use { socket ->
            socket.send(GET)
            fixture.respond(fixture.nextExchange(), ByteArray(ANSWER_BYTES))
            val close = fixture.nextClose()
            assertEquals(CallerCloseReason.IDLE, close.reason)
            assertTrue(socket.getInputStream().readAllBytes().size < ANSWER_BYTES)
        }
    }

    @Test
    fun `a response that ends with its connection is not taken for complete when it is cut off`() {
        fixture.limits = fixture.limits.copy(idleTimeout = SHORT)
        fixture.connect().use { socket ->
            socket.send(GET.replace("1.1", "1.0"))
            val exchange = fixture.nextExchange()
            fixture.onLoop {
                exchange.beginStream(200, DefaultHttpHeaders())
                exchange.write(ByteArray(ANSWER_BYTES))
                exchange.endStream()
            }
            sleep(SHORT * 4)
            assertFailsWith<IOException> { socket.getInputStream().readAllBytes() }
        }
    }

    @Test
    fun `an idle connection is closed after the idle time`() {
        fixture.limits = fixture.limits.copy(idleTimeout = SHORT)
        connectAndServe().use { assertEquals(-1, it.getInputStream().read()) }
    }

    private companion object {
        val SHORT = 400.milliseconds
        val PAUSE = 1.seconds
        val SETTLE = 100.milliseconds

        /** More than the socket buffers of both ends of a loopback connection hold. */
        const val ANSWER_BYTES = 60_000_000
        const val STEP_BYTES = 2_000_000
    }
}
