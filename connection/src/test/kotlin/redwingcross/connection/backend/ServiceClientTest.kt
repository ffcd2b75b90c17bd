package redwingcross.connection.backend

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a non-idempotent call that runs twice because the HTTP client sends it again, and against a request
 * that is reported as not run although a byte of it was sent.
 */
class ServiceClientTest {
    private val http = BackendHttp(Dispatchers.IO, BackendLimits(maxResponseBytes = 100))
    private val clock = MonotonicClock { Duration.ZERO }

    @Test
    fun `a call whose connection closes after the request is sent once and has an unknown outcome`() =
        eachMethod { method ->
            RawServer { _, socket -> socket.close() }.use { server ->
                assertIs<Outcome.Unknown>(dispatch(server.endpoint, method))
                assertEquals(1, server.requests.size)
            }
        }

    @Test
    fun `a call with a 503 response and a Retry-After header is sent once`() = eachMethod { method ->
        RawServer { _, socket ->
            socket.respond("HTTP/1.1 503 Busy\nRetry-After: 0\nContent-Length: 0\n\n")
        }.use { server ->
            assertEquals(
                503,
                assertIs<Outcome.Completed<ServiceAnswer>>(dispatch(server.endpoint, method)).answer.status,
            )
            assertEquals(1, server.requests.size)
        }
    }

    @Test
    fun `a status after which HTTP clients send another request is returned as the response`() = eachMethod { method ->
        listOf(301, 307, 308, 401, 407, 408, 421).forEach { status ->
            RawServer { _, socket ->
                socket.respond("HTTP/1.1 $status Again\nLocation: /again\nRetry-After: 0\nContent-Length: 0\n\n")
            }.use { server ->
                val outcome = dispatch(server.endpoint, method)
                assertEquals(1, server.requests.size, "status $status")
                // OkHttp treats a 407 without a proxy as a protocol error.
                if (status == 407) {
                    assertIs<Outcome.Unknown>(outcome)
                } else {
                    assertEquals(status, assertIs<Outcome.Completed<ServiceAnswer>>(outcome).answer.status)
                }
            }
        }
    }

    @Test
    fun `a call whose connection is refused is not run`() {
        val unused = ServerSocket(0).use { it.localPort }
        assertEquals(Outcome.NotRun(NotRunReason.CONNECT_FAILED), dispatch("127.0.0.1:$unused", "POST"))
    }

    @Test
    fun `a call that admission refuses after the connection was established is not run and sends nothing`() {
        RawServer { _, socket -> socket.close() }.use { server ->
            assertEquals(Outcome.NotRun(NotRunReason.STALE_VIEW), dispatch(server.endpoint, "POST") { false })
            server.awaitClientClose()
            assertEquals(0, server.requests.size)
        }
    }

    @Test
    fun `a response that is truncated, without a length, of another attempt or too large is an unknown outcome`() {
        listOf(
            "HTTP/1.1 200 OK\nContent-Length: 10\n\nhalf",
            "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nhalf\n",
            "HTTP/1.1 200 OK\n\nno length",
            "HTTP/1.1 200 OK\nContent-Length: 2\nX-Attempt-Id: other\n\nok",
            "HTTP/1.1 200 OK\nContent-Length: 101\n\n" + "x".repeat(101),
            "nonsense\n\n",
        ).forEach { response ->
            RawServer { _, socket ->
                socket.respond(response)
                socket.close()
            }.use { server ->
                val outcome = dispatch(server.endpoint, "POST")
                assertIs<Outcome.Unknown>(outcome, response)
                assertNotEquals(0, server.requests.size)
            }
        }
    }

    private fun eachMethod(test: (String) -> Unit) = listOf("GET", "POST", "DELETE", "PUT").forEach(test)

    private fun dispatch(endpoint: String, method: String, confirm: (SlotId) -> Boolean = { true }) = runBlocking {
        val call = ServiceCall(
            request = RequestId("r"),
            customer = Customer("c"),
            service = ServiceName("s"),
            method = method,
            path = "/bookings",
            contentType = "application/json",
            body = "{}".toByteArray(),
            key = IdempotencyKey("k"),
            deadline = 20.seconds,
        )
        val slot = Slot(SlotId(1), BackendServer("b"), endpoint)
        http.dispatchOnce(confirm, clock)(slot, call, AttemptId("a"))
    }

    @Test
    fun `a call with a response whose status is out of range has an unknown outcome`() = eachMethod { method ->
        for (status in listOf("000", "099", "600", "999", "+20", "0200")) {
            RawServer { _, socket ->
                socket.respond("HTTP/1.1 $status Other\nContent-Length: 0\n\n")
            }.use { server ->
                assertIs<Outcome.Unknown>(dispatch(server.endpoint, method), status)
                assertEquals(1, server.requests.size, status)
            }
        }
    }
}
