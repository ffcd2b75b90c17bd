package redwingcross.connection.caller

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import redwingcross.request.Outcome
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.AttemptFault
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.model.TokenOffset
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.slot.SlotResult
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against callers that exhaust the gateway's memory or threads, non-idempotent calls that are aborted when their
 * caller disconnects, and a shutdown that aborts running requests.
 */
class CallerServerTest {
    private val settings = CallerServerSettings(host = "127.0.0.1", port = 0)

    @Test
    fun `bodies above the limit are refused, with a content length and with chunked encoding`() {
        CallerFixture(settings = settings.copy(maxBodyBytes = 100)).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendRequest("POST /services/s/jobs", "x".repeat(101))
                assertTrue(" 413 " in socket.readHead(), "content length")
            }
            fixture.connect().use { socket ->
                val head = listOf("POST /services/s/jobs HTTP/1.1", "Host: g", "Transfer-Encoding: chunked", "", "")
                socket.getOutputStream().write(
                    (head.joinToString("\r\n") + "c8\r\n" + "x".repeat(200) + "\r\n0\r\n\r\n").toByteArray(),
                )
                assertTrue(" 413 " in socket.readHead(), "chunked")
            }
            assertTrue(fixture.slots.requests.isEmpty())
        }
    }

    @Test
    fun `connections above the limit per address are closed and closed connections are not counted`() {
        CallerFixture(settings = settings.copy(maxConnectionsPerAddress = 2)).use { fixture ->
            val open = List(2) { fixture.connect().also { it.assertServed() } }
            fixture.connect().use { third -> assertEquals(-1, third.getInputStream().read()) }
            open.first().close()
            // The server detects the closed connection with a delay.
            generateSequence { fixture.connect() }.first { socket ->
                runCatching { socket.assertServed() }.isSuccess.also { socket.close() }
            }
            open.last().close()
        }
    }

    @Test
    fun `requests above the exchange limit are refused immediately as not run`() {
        val started = LinkedBlockingQueue<Unit>()
        val finishDispatch = CompletableDeferred<Unit>()
        waitingFixture(started, finishDispatch, settings.copy(maxExchanges = 1)).use { fixture ->
            val first = fixture.connect().apply { sendRequest("POST /services/s/jobs", "") }
            started.await()
            fixture.connect().use { second ->
                second.sendRequest("POST /services/s/jobs", "")
                assertTrue(" 503 " in second.readHead())
            }
            finishDispatch.complete(Unit)
            assertTrue(" 200 " in first.readHead())
        }
    }

    @Test
    fun `a dispatched non-idempotent call completes although its caller disconnected`() {
        val started = LinkedBlockingQueue<Unit>()
        val finishDispatch = CompletableDeferred<Unit>()
        waitingFixture(started, finishDispatch).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendRequest("POST /services/s/bookings", "", listOf("X-Customer: c", "Idempotency-Key: k"))
                started.await()
            }
            finishDispatch.complete(Unit)
            assertIs<SlotResult.Served>(fixture.slots.awaitRelease().second)
        }
    }

    @Test
    fun `stopping closes the port and waits for the running exchange`() {
        val started = LinkedBlockingQueue<Unit>()
        val finishDispatch = CompletableDeferred<Unit>()
        val fixture = waitingFixture(started, finishDispatch)
        val idle = fixture.connect().also { it.assertServed() }
        val running = fixture.connect().apply { sendRequest("POST /services/s/jobs", "") }
        started.await()
        val stopped = CompletableFuture<Unit>()
        thread(isDaemon = true) {
            fixture.close()
            stopped.complete(Unit)
        }
        val port = fixture.server.port()
        generateSequence { runCatching { Socket("127.0.0.1", port).close() }.exceptionOrNull() ?: Unit }
            .first { it is ConnectException }
        idle.sendRequest("GET /addresses", "")
        assertTrue(" 503 " in idle.readHead(), "a request on an open connection is refused while the server stops")
        assertTrue(!stopped.isDone)
        finishDispatch.complete(Unit)
        assertTrue(" 200 " in running.readHead())
        stopped.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        assertFailsWith<ConnectException> { Socket("127.0.0.1", port) }
    }

    @Test
    fun `a stream whose attempts all fail ends with an error event and without the terminating chunk`() {
        val failing: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, AnswerToken(attempt.resumeAt, "t")))
            emit(ModelRequestEvent.AttemptFailed(attempt.attempt, AttemptFault.Broken("connection closed")))
        }
        CallerFixture(runAttempt = failing).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendCompletion(isStream = true)
                val text = socket.getInputStream().readBytes().decodeToString()
                assertEquals(listOf("id: 0", "id: 1", "id: 2"), text.lines().filter { it.startsWith("id:") })
                assertTrue("event: error\ndata: {" in text, text)
                assertTrue("[DONE]" !in text && "\r\n0\r\n" !in text, "the response looks complete: $text")
            }
            repeat(3) { assertIs<SlotResult.Failed>(fixture.slots.awaitRelease().second) }
        }
    }

    @Test
    fun `the slot of a caller that disconnects during a stream is released after the next keep-alive`() {
        val keepAliveTrigger = Channel<Unit>(Channel.UNLIMITED)
        val keepAliveOnly: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, AnswerToken(TokenOffset.START, "t")))
            while (true) {
                keepAliveTrigger.receive()
                emit(ModelRequestEvent.KeepAliveReceived(attempt.attempt))
            }
        }
        CallerFixture(runAttempt = keepAliveOnly).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendCompletion(isStream = true)
                assertTrue(" 200 " in socket.readHead())
            }
            generateSequence {
                keepAliveTrigger.trySend(Unit)
                fixture.slots.released.poll(50, TimeUnit.MILLISECONDS) ?: Unit
            }.first { it != Unit }
            assertTrue(fixture.slots.released.isEmpty())
        }
    }

    private fun waitingFixture(
        started: LinkedBlockingQueue<Unit>,
        finishDispatch: CompletableDeferred<Unit>,
        settings: CallerServerSettings = this.settings,
    ): CallerFixture {
        val slots = RecordingSlots()
        return CallerFixture(slots, settings = settings) { scope ->
            callerServices(slots, { _, _, _ -> }, scope, dispatch = { _, _, _ ->
                started += Unit
                finishDispatch.await()
                Outcome.Completed(ServiceAnswer(200, "text/plain", "done".toByteArray()))
            })
        }
    }

    private fun LinkedBlockingQueue<Unit>.await() = checkNotNull(poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS))

    private fun Socket.assertServed() {
        sendRequest("GET /addresses", "")
        assertTrue(" 200 " in readHead())
        readNBytesOfBody()
    }

    private fun Socket.readNBytesOfBody() =
        getInputStream().readNBytes("""{"addresses":[],"lifetimeSeconds":10}""".length)

    private fun Socket.readHead(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            head.append(
                checkNotNull(
                    getInputStream().read().takeIf {
                        it >= 0
                    },
                ).toChar(),
            )
        }
        return head.toString()
    }
}
