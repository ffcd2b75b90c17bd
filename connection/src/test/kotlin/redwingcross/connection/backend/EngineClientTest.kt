package redwingcross.connection.backend

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.AttemptFault
import redwingcross.request.model.ModelAttempt
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.TokenOffset
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\nX-Attempt-Id: a\nX-Boot-Id: boot\nContent-Type: text/event-stream\n"
private const val TOKEN = "id: 7\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hi\"}}]}\n\n"

/**
 * Guards against a truncated engine response that is treated as complete, an attempt that is reported as not sent
 * although it was sent, and a cancelled attempt that keeps its connection open.
 */
class EngineClientTest {
    private val http = BackendHttp(Dispatchers.IO, BackendLimits(maxLineBytes = 200, readTimeout = 60.seconds))
    private val attempt = AttemptId("a")

    @Test
    fun `a complete response is emitted as start, keep-alive, token and end events`() {
        val response = "$HEAD\n: keep-alive\n\n${TOKEN}data: [DONE]\n\n"
        RawServer { _, socket ->
            socket.respond(response)
            socket.close()
        }.use { server ->
            val expected = listOf(
                ModelRequestEvent.AnswerStarted(attempt, attempt, "boot"),
                ModelRequestEvent.KeepAliveReceived(attempt),
                ModelRequestEvent.TokenReceived(attempt, AnswerToken(TokenOffset(7), "hi")),
                ModelRequestEvent.EndReceived(attempt, null),
            )
            assertEquals(expected, eventsFrom(server.endpoint))
            val request = server.requests.single()
            assertEquals("POST /v1/chat/completions HTTP/1.1", request.line)
            assertEquals("{}", request.body)
            val sent = listOf("attempt-id", "resume-offset", "group", "group-generation", "priority", "request-id")
                .map { request.headers["x-$it"] }
            assertEquals(listOf("a", "7", "g", "3", "5", "r"), sent)
        }
    }

    @Test
    fun `a response that ends or is malformed before the end marker is reported as broken`() {
        listOf(
            HEAD + "\n" + TOKEN,
            HEAD + "Transfer-Encoding: chunked\n\n0\n\n",
            HEAD + "\nid: seven\ndata: {}\n\n",
            HEAD + "\nid: 7\ndata: {}\n\n",
            HEAD + "\n" + TOKEN.substringAfter("\n"),
            HEAD + "\n: " + "x".repeat(300) + "\n\n",
            "HTTP/1.1 409 Conflict\nX-Attempt-Id: other\nContent-Length: 0\n\n",
            "",
        ).forEach { response ->
            RawServer { _, socket ->
                socket.respond(response)
                socket.close()
            }.use { server ->
                assertIs<AttemptFault.Broken>(eventsFrom(server.endpoint).fault(), response)
                assertEquals(1, server.requests.size)
            }
        }
    }

    @Test
    fun `refusals by the engine, by admission and by the connection have different faults`() {
        RawServer { _, socket ->
            socket.respond("HTTP/1.1 503 Busy\nRetry-After: 0\nX-Boot-Id: boot\nContent-Length: 0\n\n")
        }.use { server ->
            assertEquals(AttemptFault.Rejected(503, "boot"), eventsFrom(server.endpoint).fault())
            assertEquals(1, server.requests.size)
            val denied = eventsFrom(server.endpoint) { false }.fault()
            assertEquals(NotRunReason.STALE_VIEW, assertIs<AttemptFault.NotSent>(denied).reason)
            assertEquals(1, server.requests.size)
        }
        val unused = ServerSocket(0).use { it.localPort }
        val refused = eventsFrom("127.0.0.1:$unused").fault()
        assertEquals(NotRunReason.CONNECT_FAILED, assertIs<AttemptFault.NotSent>(refused).reason)
    }

    @Test
    fun `cancelling an attempt whose engine sends nothing closes its connection`() = runBlocking {
        RawServer { _, socket -> socket.respond("$HEAD\n$TOKEN") }.use { server ->
            val events = Channel<ModelRequestEvent>(Channel.UNLIMITED)
            val job = launch { http.runModelAttempt()(modelAttempt(server.endpoint), { true }) { events.send(it) } }
            assertIs<ModelRequestEvent.AnswerStarted>(events.receive())
            assertIs<ModelRequestEvent.TokenReceived>(events.receive())
            job.cancel()
            server.awaitClientClose()
            job.join()
        }
    }

    @Test
    fun `attempts do not share connections`() {
        // On a shared connection, the second attempt would read the rest of the first response.
        RawServer { request, socket ->
            val late = if (request.headers["x-resume-offset"] == "7") TOKEN else ""
            socket.respond("$HEAD" + "Content-Length: ${14 + late.length}\n\n${late}data: [DONE]\n\n")
        }.use { server ->
            repeat(2) {
                eventsFrom(server.endpoint)
                server.awaitClientClose()
            }
        }
    }

    @Test
    fun `a cancellation is sent to the engine and succeeds without a response`() = runBlocking {
        RawServer { _, socket -> socket.close() }.use { server ->
            http.cancelModelAttempt()(modelAttempt(server.endpoint).slot, attempt)
            assertEquals("POST /control/cancel/a HTTP/1.1", server.requests.single().line)
        }
    }

    private fun List<ModelRequestEvent>.fault(): AttemptFault {
        assertTrue(none { it is ModelRequestEvent.EndReceived }, "$this")
        return assertIs<ModelRequestEvent.AttemptFailed>(last()).fault
    }

    private fun eventsFrom(endpoint: String, confirm: (SlotId) -> Boolean = { true }): List<ModelRequestEvent> {
        val events = mutableListOf<ModelRequestEvent>()
        runBlocking { http.runModelAttempt()(modelAttempt(endpoint), confirm) { events += it } }
        return events
    }

    private fun modelAttempt(endpoint: String) = ModelAttempt(
        slot = Slot(SlotId(1), BackendServer("b"), endpoint, GroupId("g"), generation = 3),
        attempt = attempt,
        request = RequestId("r"),
        priority = 5,
        resumeAt = TokenOffset(7),
        body = "{}".toByteArray(),
    )
}
