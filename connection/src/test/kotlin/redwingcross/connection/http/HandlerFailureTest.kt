package redwingcross.connection.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against requests that get neither an answer nor a refusal because a step of their handler failed. */
class HandlerFailureTest {
    private val fixture = ListenerFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun fault(): Nothing = error("fault")

    private fun CallerExchange.answer(status: Int) = respond(status, DefaultHttpHeaders(), ByteArray(0))

    private fun CallerExchange.begin(status: Int = 200) {
        beginStream(status, DefaultHttpHeaders())
        write("part".toByteArray())
    }

    /** The status of the answer, or `reset` for a connection that was reset within it. */
    private fun Socket.readAnswer(): String = use {
        try {
            it.getInputStream().readAllBytes().decodeToString().substringAfter(' ').substringBefore(' ')
        } catch (_: SocketException) {
            "reset"
        }
    }

    private val failingHandlers = listOf<Triple<String, String, ServeExchange>>(
        Triple("before an answer", "500") { fault() },
        Triple("with an error", "500") { throw StackOverflowError("fault") },
        Triple("with a status that can't be sent", "500") { it.answer(-1) },
        Triple("with a head that can't be sent", "500") { it.begin(-1) },
        Triple("within an answer", "reset") {
            it.begin()
            fault()
        },
        Triple("by a second head", "reset") {
            it.begin()
            it.answer(200)
        },
        Triple("with an answer of its own", "503") {
            it.onFailure = { it.answer(503) }
            fault()
        },
        Triple("twice", "500") {
            it.onFailure = ::fault
            fault()
        },
        Triple("with an answer that can't be sent", "500") {
            it.onFailure = { it.answer(-1) }
            fault()
        },
        Triple("after the answer", "200") {
            it.answer(200)
            fault()
        },
    )

    @Test
    fun `a request whose handler fails gets one final answer and frees its body`() {
        val body = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 9\r\n\r\n123456789"
        for ((step, expected, handler) in failingHandlers) {
            fixture.serve = handler
            assertEquals(expected, fixture.connect().also { it.send(body) }.readAnswer(), step)
            fixture.onLoop { assertEquals(0, fixture.bodyBudget.heldBytes, step) }
        }
    }

    @Test
    fun `the requests behind a request whose handler fails are served on the same connection`() {
        fixture.serve = { if (it.head.target == "/") fault() else it.answer(204) }
        fixture.connect().use {
            it.send(GET + GET.replace("/ ", "/next "))
            assertTrue("500" in it.getInputStream().readHead())
            assertTrue("204" in it.getInputStream().readHead())
        }
        assertEquals("fault", fixture.nextFailure().cause.message)
        assertTrue(fixture.failures.isEmpty() && fixture.closes.isEmpty(), "${fixture.closes}")
    }

    @Test
    fun `a failure is reported once, with its place and the failures of the clean-up`() {
        fixture.serve = {
            it.onFailure = { it.guarded { error("clean-up") } }
            fault()
        }
        fixture.connect().use { it.send(GET) }
        val failure = fixture.nextFailure()
        assertEquals(
            "fault" to listOf("clean-up"),
            failure.cause.message to failure.cause.suppressed.map {
                it.message
            },
        )
        assertTrue(failure.place.orEmpty().startsWith("HandlerFailureTest.kt:"), failure.place)
        assertNull(fixture.failures.poll(100, TimeUnit.MILLISECONDS))
    }

    @Test
    fun `a later step that fails ends its request`() {
        fixture.connect().use {
            it.send(GET)
            val exchange = fixture.nextExchange()
            fixture.onLoop { exchange.guarded(::fault) }
            assertTrue("500" in it.getInputStream().readHead())
        }
        val caller = fixture.connect()
        caller.send(GET)
        val exchange = fixture.nextExchange()
        exchange.onDisconnect = ::fault
        caller.close()
        assertEquals("fault", fixture.nextFailure().cause.message)
    }

    @Test
    fun `a request that can't be received is refused as not run`() {
        fixture.connect().use {
            it.send(GET)
            fixture.respond(fixture.nextExchange())
            it.getInputStream().readHead()
            var reads = 0
            fixture.onLoop {
                fixture.readLimits = { fixture.limits.also { if (++reads == 2) fault() } }
                it.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1")
                fixture.listener.receivePending()
            }
            assertTrue("503" in it.getInputStream().readHead())
            assertEquals(CallerCloseReason.FAILED, fixture.nextClose().reason)
        }
    }

    @Test
    fun `a connection that can't be observed is closed after its answer, and so are the others`() {
        fixture.onClosing = { fault() }
        val callers = List(2) { fixture.connect() }
        for (caller in callers) {
            caller.send(GET)
            fixture.respond(fixture.nextExchange())
            caller.getInputStream().readHead()
        }
        fixture.onLoop { fixture.listener.closeGracefully() }
        callers.forEach { caller -> caller.use { assertEquals(-1, it.getInputStream().read()) } }
    }
}
