package redwingcross.connection.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Guards against whole requests that get no answer, because they arrive while their connection is about to close. */
class CloseRaceTest {
    private val fixture = ListenerFixture()

    @AfterTest
    fun close() = fixture.close()

    private val lastResponses: Map<String, CallerExchange.() -> Unit> = mapOf(
        "response" to { respond(200, DefaultHttpHeaders(), ByteArray(0)) },
        "refusal" to {
            closeAfterResponse()
            respond(200, DefaultHttpHeaders(), ByteArray(0))
        },
        "stream" to {
            beginStream(200, DefaultHttpHeaders())
            endStream()
        },
    )

    private fun Socket.assertServedLast(name: String) {
        fixture.respond(fixture.nextExchange())
        val heads = List(if (name == "stream") 3 else 2) { getInputStream().readHead().lowercase() }
        assertEquals(listOf(heads.lastIndex), heads.indices.filter { "connection: close" in heads[it] }, name)
        assertEquals(-1, getInputStream().read(), name)
    }

    @Test
    fun `a request that lies unread, or in part, is answered although the process stops`() {
        for ((name, answer) in lastResponses) {
            for (received in listOf(GET, GET.take(20), POST.dropLast(2))) {
                fixture.connect().use { socket ->
                    socket.send(GET)
                    val exchange = fixture.nextExchange()
                    val answerAtStop = {
                        fixture.listener.closeGracefully()
                        exchange.answer()
                    }
                    fixture.delayLoop(answerAtStop) {
                        socket.send(received)
                        sleep(SETTLE)
                    }
                    socket.send((if (received.startsWith("P")) POST else GET).drop(received.length))
                    socket.assertServedLast(name)
                }
            }
        }
    }

    @Test
    fun `a request is answered although the one before it is refused while both are being read`() {
        fixture.onLoop(fixture.listener::closeGracefully)
        for ((name, answer) in lastResponses) {
            fixture.serve = {
                fixture.serve = fixture.exchanges::put
                it.answer()
            }
            fixture.connect().use { socket ->
                socket.send(GET + GET)
                socket.assertServedLast(name)
            }
        }
    }

    private fun assertClosedWithoutDelay(close: () -> Unit, connect: () -> Socket) {
        connect().use { socket ->
            var received: Int? = null
            fixture.delayLoop(close) {
                // Runs before what the close leaves to a later turn of the event loop.
                fixture.execute { received = runCatching { socket.getInputStream().read() }.getOrNull() }
                sleep(SETTLE * 3)
            }
            fixture.onLoop { assertEquals(-1, received, "the connection was open after the decision to close it") }
        }
    }

    @Test
    fun `no request can arrive between the decision to close an idle connection and the close`() {
        val connect = {
            fixture.connect().also {
                it.soTimeout = 1000
                it.send(GET)
                fixture.respond(fixture.nextExchange())
                it.getInputStream().readHead()
            }
        }
        fixture.limits = fixture.limits.copy(idleTimeout = SETTLE)
        assertClosedWithoutDelay(fixture::checkTimeouts, connect)
        assertClosedWithoutDelay(fixture.listener::closeGracefully, connect)
    }

    private companion object {
        const val POST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
        val SETTLE = 200.milliseconds
    }
}
