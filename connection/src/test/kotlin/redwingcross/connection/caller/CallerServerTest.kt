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
 * Guards against callers that use up the gateway's memory or threads, bookings that are cut short by their caller, and
 * stops that cut running requests.
 */
class CallerServerTest {
    private val settings = CallerServerSettings(host = "127.0.0.1", port = 0)

    @Test
    fun `bodies above the limit are refused, with and without a stated length`() {
        CallerFixture(settings = settings.copy(maxBodyBytes = 100)).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendRequest("POST /services/s/jobs", "x".repeat(101))
                assertTrue(" 413 " in socket.readHead(), "stated length")
            }
            fixture.connect().use { socket ->
                val head = listOf("POST /services/s/jobs HTTP/1.1", "Host: g", "Transfer-Encoding: chunked", "", "")
                socket.getOutputStream().write(
                    (head.joinToString("\r\n") + "c8\r\n" + "x".repeat(200) + "\r\n0\r\n\r\n").toByteArray(),
                )
                assertTrue(" 413 " in socket.readHead(), "chunks")
            }
            assertTrue(fixture.slots.requests.isEmpty())
        }
    }

    @Test
    fun `connections above the limit of an address are closed and closed ones make room`() {
        CallerFixture(settings = settings.copy(maxConnectionsPerAddress = 2)).use { fixture ->
            val open = List(2) { fixture.connect().also { it.assertServed() } }
            fixture.connect().use { third -> assertEquals(-1, third.getInputStream().read()) }
            open.first().close()
            // The server sees the closed connection a moment later.
            generateSequence { fixture.connect() }.first { socket ->
                runCatching { socket.assertServed() }.isSuccess.also { socket.close() }
            }
            open.last().close()
        }
    }

    @Test
    fun `requests above the number of exchanges are refused at once as not run`() {
        val started = LinkedBlockingQueue<Unit>()
        val goOn = CompletableDeferred<Unit>()
        waitingFixture(started, goOn, settings.copy(maxExchanges = 1)).use { fixture ->
            val first = fixture.connect().apply { sendRequest("POST /services/s/jobs", "") }
            started.await()
            fixture.connect().use { second ->
                second.sendRequest("POST /services/s/jobs", "")
                assertTrue(" 503 " in second.readHead())
            }
            goOn.complete(Unit)
            assertTrue(" 200 " in first.readHead())
        }
    }

    @Test
    fun `a booking that was dispatched runs to its end although its caller went away`() {
        val started = LinkedBlockingQueue<Unit>()
        val goOn = CompletableDeferred<Unit>()
        waitingFixture(started, goOn).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendRequest("POST /services/s/bookings", "", listOf("X-Customer: c", "Idempotency-Key: k"))
                started.await()
            }
            goOn.complete(Unit)
            assertIs<SlotResult.Served>(fixture.slots.awaitRelease().second)
        }
    }

    @Test
    fun `a stop closes the port and waits for the running exchange`() {
        val started = LinkedBlockingQueue<Unit>()
        val goOn = CompletableDeferred<Unit>()
        val fixture = waitingFixture(started, goOn)
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
        assertTrue(" 503 " in idle.readHead(), "a request on an open connection is refused during the stop")
        assertTrue(!stopped.isDone)
        goOn.complete(Unit)
        assertTrue(" 200 " in running.readHead())
        stopped.get(HANG_SECONDS, TimeUnit.SECONDS)
        assertFailsWith<ConnectException> { Socket("127.0.0.1", port) }
    }

    @Test
    fun `a stream whose attempts fail ends with an error event and without the end of the body`() {
        val failing: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, AnswerToken(attempt.resumeAt, "t")))
            emit(ModelRequestEvent.AttemptFailed(attempt.attempt, AttemptFault.Broken("cut")))
        }
        CallerFixture(runAttempt = failing).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendCompletion(isStream = true)
                val text = socket.getInputStream().readBytes().decodeToString()
                assertEquals(listOf("id: 0", "id: 1", "id: 2"), text.lines().filter { it.startsWith("id:") })
                assertTrue("event: error\ndata: {" in text, text)
                assertTrue("[DONE]" !in text && "\r\n0\r\n" !in text, "the answer looks complete: $text")
            }
            repeat(3) { assertIs<SlotResult.Failed>(fixture.slots.awaitRelease().second) }
        }
    }

    @Test
    fun `a caller that goes away during a stream frees the slot after the next keep-alive`() {
        val mayComment = Channel<Unit>(Channel.UNLIMITED)
        val commenting: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, AnswerToken(TokenOffset.START, "t")))
            while (true) {
                mayComment.receive()
                emit(ModelRequestEvent.KeepAliveReceived(attempt.attempt))
            }
        }
        CallerFixture(runAttempt = commenting).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendCompletion(isStream = true)
                assertTrue(" 200 " in socket.readHead())
            }
            generateSequence {
                mayComment.trySend(Unit)
                fixture.slots.released.poll(50, TimeUnit.MILLISECONDS) ?: Unit
            }.first { it != Unit }
            assertTrue(fixture.slots.released.isEmpty())
        }
    }

    private fun waitingFixture(
        started: LinkedBlockingQueue<Unit>,
        goOn: CompletableDeferred<Unit>,
        settings: CallerServerSettings = this.settings,
    ): CallerFixture {
        val slots = RecordingSlots()
        return CallerFixture(slots, settings = settings) { scope ->
            callerServices(slots, { _, _, _ -> }, scope, dispatch = { _, _, _ ->
                started += Unit
                goOn.await()
                Outcome.Completed(ServiceAnswer(200, "text/plain", "done".toByteArray()))
            })
        }
    }

    private fun LinkedBlockingQueue<Unit>.await() = checkNotNull(poll(HANG_SECONDS, TimeUnit.SECONDS))

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
