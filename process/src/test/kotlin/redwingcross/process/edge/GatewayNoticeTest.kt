package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against requests to a back end that has stated in a response that it leaves, or that it wants none for a
 * while. Each of the responses below carries such a statement.
 */
class GatewayNoticeTest : GatewayFixture() {
    private fun CallerExchange.respondWith(status: Int, vararg fields: Pair<String, String>) = onLoop {
        respond(status, headers("Id" to "7", "Signed" to "1", *fields), "a".toByteArray())
    }

    /** The only back end gets no further request. */
    private fun assertNothingSent(): String {
        sends.clear()
        val answer = call("idempotent").readAnswer()
        assertTrue("503" in answer && "Retry-Delay" in answer, answer)
        assertNull(sends.poll(), "a back end got a request")
        return answer
    }

    @Test
    fun `a back end that states in a successful response that it leaves gets no further request`() {
        startBackends(1)
        val caller = call("idempotent")
        nextArrival().respondWith(200, "Leaving" to "1")
        assertTrue("200 OK" in caller.readAnswer())
        assertNothingSent()
    }

    @Test
    fun `the other back ends get the requests of one that leaves`() {
        startBackends(2)
        val caller = call("idempotent")
        nextArrival().respondWith(200, "Leaving" to "1")
        caller.readAnswer()
        val leaving = sends.take().server
        repeat(4) {
            val next = call("idempotent")
            nextArrival().respondSigned("b")
            next.readAnswer()
            assertTrue(sends.take().server != leaving)
        }
    }

    @Test
    fun `a statement in an error counts`() {
        startBackends(1)
        val caller = call("non-idempotent")
        nextArrival().respondWith(500, "Leaving" to "1")
        caller.readAnswer()
        assertNothingSent()
    }

    @Test
    fun `a statement in a refusal counts`() {
        startBackends(1)
        val caller = call("non-idempotent")
        nextArrival().respondWith(503, "Declined" to "1", "Leaving" to "1")
        caller.readAnswer()
        assertNothingSent()
    }

    @Test
    fun `a statement in the head of a stream counts before the stream ends`() {
        startBackends(1)
        val caller = call("stream")
        val stream = nextArrival()
        onLoop {
            stream.beginStream(200, headers("Id" to "7", "Signed" to "1", "Leaving" to "1"))
            stream.write("id: 1\ndata: a\n\n".toByteArray())
        }
        caller.readThrough("data: a\n\n")
        assertNothingSent()
        caller.close()
    }

    @Test
    fun `a statement in a response that belongs to another request counts`() {
        startRawBackends(1)
        val caller = call("idempotent")
        nextRawArrival().use { backend ->
            backend.send("HTTP/1.1 200 OK\r\nId: 6\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
            backend.send("HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nb")
            assertTrue("200 OK" in caller.readAnswer())
        }
        assertNothingSent()
    }

    @Test
    fun `a new start of the back end takes the statement back`() {
        startBackends(1)
        val caller = call("idempotent")
        nextArrival().respondWith(200, "Leaving" to "1")
        caller.readAnswer()
        listStart(1)
        assertNothingSent()
        listStart(2)
        val next = call("idempotent")
        nextArrival().respondSigned("b")
        assertTrue("200 OK" in next.readAnswer())
    }

    @Test
    fun `a back end that asks for a pause gets nothing and callers come back after it`() {
        startBackends(1)
        val caller = call("non-idempotent")
        nextArrival().respondWith(503, "Declined" to "1", "Pause" to "20")
        caller.readAnswer()
        val delay = Regex("retry-delay: ([0-9.]+)s").find(assertNothingSent().lowercase())?.groupValues?.get(1)
        assertTrue(delay != null && delay.toDouble() in 15.0..30.0, "Retry-Delay $delay")
    }

    @Test
    fun `a request waits through a short pause`() {
        startBackends(2)
        val first = call("non-idempotent")
        nextArrival().respondWith(503, "Declined" to "1", "Pause" to "0")
        nextArrival().respondSigned("done")
        assertTrue("done" in first.readAnswer())
        assertEquals(2, outcomes.poll(5, TimeUnit.SECONDS)?.sends)
    }
}
