package redwingcross.process.edge

import redwingcross.request.BackendServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Guards against an entry at whose address another back end answers, and that goes on getting requests. */
class GatewayMisdirectedTest : GatewayFixture() {
    /** Sends a request of which the first back end says that it is another one; returns that back end. */
    private fun callMisdirected(): BackendServer {
        val caller = call("idempotent")
        nextArrival().let { onLoop { it.respond(MISDIRECTED, headers("Id" to "7"), ByteArray(0)) } }
        nextArrival().respondSigned("a")
        assertTrue("200 OK" in caller.readAnswer())
        val (first, second) = List(2) { sends.take().server }
        assertNotEquals(first, second)
        return first
    }

    private fun serve(): BackendServer {
        val caller = call("idempotent")
        nextArrival().respondSigned("b")
        assertTrue("200 OK" in caller.readAnswer())
        return sends.take().server
    }

    @Test
    fun `the other back ends get all requests after one was found elsewhere`() {
        startBackends(2)
        val absent = callMisdirected()
        Thread.sleep(DECLINE_MILLIS)
        assertEquals(0, List(REQUESTS) { serve() }.count { it == absent })
    }

    @Test
    fun `a new start of a back end that was found elsewhere gets requests`() {
        startBackends(2)
        listStart(1)
        val absent = callMisdirected()
        listStart(2)
        Thread.sleep(DECLINE_MILLIS)
        assertTrue(List(REQUESTS) { serve() }.any { it == absent })
    }

    private companion object {
        /** Longer than a back end is avoided that has declined a request for another reason. */
        const val DECLINE_MILLIS = 200L
        const val REQUESTS = 30
    }
}
