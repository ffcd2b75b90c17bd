package redwingcross.connection.caller

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.model.TokenOffset
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a server adapter that buffers the body, so that callers receive all tokens at the end, and against
 * reading from a back end faster than the caller reads the tokens.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamingTest {
    @Test
    fun `each event is sent to the caller before the next one is produced`() {
        val eventTrigger = Channel<Unit>(Channel.UNLIMITED)
        val fiveEvents: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            repeat(5) { index ->
                eventTrigger.receive()
                emit(
                    ModelRequestEvent.TokenReceived(
                        attempt.attempt,
                        AnswerToken(TokenOffset(index.toLong()), "t$index"),
                    ),
                )
            }
            eventTrigger.receive()
            emit(ModelRequestEvent.EndReceived(attempt.attempt, null))
        }
        CallerFixture(runAttempt = fiveEvents).use { fixture ->
            fixture.connect().use { socket ->
                socket.sendCompletion(isStream = true)
                val lines = socket.getInputStream().bufferedReader().lineSequence().iterator()
                repeat(5) { index ->
                    eventTrigger.trySend(Unit)
                    val line = lines.asSequence().first { it.startsWith("data:") }
                    assertTrue("\"content\":\"t$index\"" in line, line)
                }
                eventTrigger.trySend(Unit)
                assertEquals("data: [DONE]", lines.asSequence().first { it.startsWith("data:") })
                assertIs<SlotResult.Served>(fixture.slots.awaitRelease().second)
            }
        }
    }

    @Test
    fun `a caller that reads nothing is disconnected and its slot is released`() {
        val settings = CallerServerSettings(host = "127.0.0.1", port = 0, writeStallTimeout = 200.milliseconds)
        CallerFixture(runAttempt = endlessStream(AtomicLong()), settings = settings).use { fixture ->
            fixture.connect().use { socket ->
                socket.receiveBufferSize = 4096
                socket.sendCompletion(isStream = true)
                assertIs<SlotResult.Served>(fixture.slots.awaitRelease().second)
                assertEquals(1, fixture.slots.granted.size)
                assertNull(fixture.slots.released.peek())
            }
        }
    }

    @Test
    fun `a full mailbox pauses reading from the back end and resumes it when chunks are taken`() = runTest {
        val emittedTokens = AtomicLong()
        val slots = RecordingSlots()
        val clock = MonotonicClock { testScheduler.currentTime.milliseconds }
        val services = callerServices(slots, endlessStream(emittedTokens), backgroundScope, clock)
        val mailbox = checkNotNull(services.budget.openMailbox())
        val response = streamedResponse(RequestId("r"), ServiceName("m"), mailbox)
        val request = SlotRequest(RequestId("r"), Customer("c"), ServiceName("m"), 0, 1, deadline = 60.seconds)
        val exchange = launch {
            ModelExchange(services, request, ByteArray(0), response.output, response.callerLoss).run()
        }

        // Far longer than the idle timeout, because a paused reader must not be treated as an idle back end.
        advanceTimeBy(30.seconds)
        val pausedAt = emittedTokens.get()
        assertTrue(mailbox.queuedBytes in 60_000..65_536, "${mailbox.queuedBytes} bytes are queued")
        assertTrue(pausedAt < 66, "$pausedAt tokens of 1 kB were read")

        repeat(10) { mailbox.take() }
        runCurrent()
        assertTrue(emittedTokens.get() in pausedAt + 8..pausedAt + 10, "reading did not resume: ${emittedTokens.get()}")
        assertTrue(slots.released.isEmpty())

        mailbox.closeConsumer()
        exchange.join()
        assertEquals(slots.granted.toList(), slots.released.map { it.first })
    }

    private fun endlessStream(emittedTokens: AtomicLong): RunModelAttempt = { attempt, _, emit ->
        emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
        while (true) {
            val offset = TokenOffset(emittedTokens.get())
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, AnswerToken(offset, "x".repeat(900))))
            emittedTokens.incrementAndGet()
        }
    }
}
