package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests in progress that a change of the configuration ends. */
class GatewayConfigurationTest : GatewayFixture() {
    private fun CallerExchange.beginEvents() = onLoop {
        beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
        write("id: 1\ndata: a\n\n".toByteArray())
    }

    /** Removes the service of a stream, breaks it off at its back end, and checks that another one completes it. */
    private fun assertGoesOnWithoutService(caller: Socket) {
        val first = nextArrival()
        first.beginEvents()
        caller.readThrough("data: a\n\n")
        removeServices()
        onLoop(first::abort)
        val second = nextArrival()
        assertEquals("1", second.head.headers.get("Resume"))
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream"))
            second.write("id: 2\ndata: b\n\n".toByteArray())
            second.endStream()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in rest && !wasReset, "'$rest', reset: $wasReset")
    }

    @Test
    fun `a stream of a plain service that was removed goes on at another back end`() {
        startBackends(2)
        assertGoesOnWithoutService(call("stream"))
    }

    @Test
    fun `a stream of a model whose service was removed goes on at another group`() {
        startEngines(2)
        assertGoesOnWithoutService(generate("p1"))
    }

    @Test
    fun `a request that a back end declines after its service was removed is sent to another one`() {
        startBackends(2)
        val caller = call("non-idempotent")
        val first = nextArrival()
        removeServices()
        first.decline()
        nextArrival().respondSigned("done")
        assertTrue("done" in caller.readAnswer())
    }
}
