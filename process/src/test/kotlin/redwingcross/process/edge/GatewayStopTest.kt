package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.StopPeriod
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that a stopping gateway sends to a back end although it ends before they are complete. */
class GatewayStopTest : GatewayFixture() {
    private fun stopIn(delay: Duration) = onLoop {
        val now = MonotonicClock.system.now()
        gateway.stop(StopPeriod(now, now + delay))
    }

    private fun assertRefused(caller: Socket) {
        val (answer, _) = caller.readUntilClosed()
        assertTrue("503" in answer && "Retry-Delay" in answer && "connection: close" in answer.lowercase(), answer)
        assertEquals("stopping", outcomes.poll(5, TimeUnit.SECONDS)?.reason)
    }

    @Test
    fun `a request whose time limit exceeds what is left is refused as not run and its connection is closed`() {
        startBackends(1)
        stopIn(9.seconds)
        assertRefused(call("non-idempotent", keepAlive = true))
        assertNull(sends.poll(), "the request was sent to a back end")
    }

    @Test
    fun `a request whose time limit is left is served`() {
        startBackends(1)
        stopIn(60.seconds)
        val caller = call("non-idempotent")
        nextArrival().respondSigned("done")
        assertTrue("done" in caller.readAnswer())
    }

    @Test
    fun `a request that a back end declined is not sent again when the rest of its time exceeds what is left`() {
        startBackends(2)
        val caller = call("non-idempotent", keepAlive = true)
        val first = nextArrival()
        stopIn(1.seconds)
        first.decline()
        assertRefused(caller)
        assertEquals(1, sends.size)
    }

    @Test
    fun `a request that waits for a place is refused as soon as it can't be completed`() {
        startEngines(1)
        val running = List(pool.slots) { generate("p1").also { nextArrival() } }
        val waiting = generate("p1")
        awaitWaitingRequest()
        stopIn(1.seconds)
        onLoop(gateway::checkProgress)
        assertRefused(waiting)
        running.forEach(Socket::close)
    }

    @Test
    fun `a request that is running at the end of the process is answered without a promise`() {
        startBackends(1)
        val caller = call("non-idempotent")
        nextArrival()
        onLoop(gateway::endRequests)
        assertTrue("502" in caller.readAnswer())
    }

    @Test
    fun `a stream that has begun is reset at the end of the process and not completed`() {
        startRawBackends(1)
        val caller = call("stream")
        nextRawArrival().use { backend ->
            backend.send("${STREAM_HEAD}id: 1\ndata: a\n\n")
            caller.readThrough("data: a\n\n")
            onLoop(gateway::endRequests)
            val (_, wasReset) = caller.readUntilClosed()
            assertTrue(wasReset, "the stream ended like a complete one")
        }
    }
}
