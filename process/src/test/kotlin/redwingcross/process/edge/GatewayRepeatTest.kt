package redwingcross.process.edge

import redwingcross.version.forwarding.ChosenBackend
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that its caller repeats and that ends each back end that begins to run it. */
class GatewayRepeatTest : GatewayFixture() {
    private fun nextSend(): ChosenBackend = assertNotNull(sends.poll(5, TimeUnit.SECONDS), "no request was sent in 5 s")

    private fun assertNothingArrives() =
        assertNull(arrivals.poll(100, TimeUnit.MILLISECONDS), "a back end got the request")

    /** Sends [caller] and ends the [count] back ends that it reaches, which start again at once. */
    private fun endBackEnds(count: Int, attempt: Int, caller: Socket) {
        repeat(count) { nextArrival().let { onLoop(it::abort) } }
        assertTrue("502" in caller.readAnswer())
        assertNothingArrives()
        val ended = List(count) { nextSend() }
        onLoop { ended.forEach(crashes::notConnected) }
        listStart(2L + attempt)
        timePassed += 1.seconds
    }

    private fun endThreeBackEnds(send: (attempt: String) -> Socket) {
        endBackEnds(2, 0, send("0"))
        endBackEnds(1, 1, send("1"))
        onLoop { crashes.check() }
    }

    private fun assertRefused(caller: Socket) {
        val answer = caller.readAnswer()
        assertTrue("503" in answer && "Retry-Delay: 30s" in answer, answer)
        assertNothingArrives()
    }

    @Test
    fun `a request that ended three engines is refused when its caller repeats it`() {
        startEngines(4)
        endThreeBackEnds { generate("p$it", attempt = it) }
        assertRefused(generate("p2"))
        val sound = generate("p2", "plain-generation")
        nextArrival().respondSigned("")
        assertTrue("200" in sound.readAnswer(), "a request for another target")
    }

    @Test
    fun `a request that ended three back ends of a service without groups is refused when its caller repeats it`() {
        startBackends(4)
        endThreeBackEnds { call("idempotent", attempt = it) }
        assertRefused(call("idempotent"))
    }

    @Test
    fun `a booking that ended three back ends is refused when its caller repeats it`() {
        startBackends(4)
        repeat(3) { endBackEnds(1, it, call("non-idempotent", attempt = "$it")) }
        onLoop { crashes.check() }
        assertRefused(call("non-idempotent"))
    }

    @Test
    fun `a request that waits at an engine is ended when it is blocked before the engine runs it`() {
        startEngines(4)
        val waiting = generate("p", attempt = "waiting")
        val held = nextArrival()
        nextSend()
        val cancelled = CountDownLatch(1)
        onLoop { held.onDisconnect = cancelled::countDown }
        endThreeBackEnds { generate("p$it", attempt = it) }
        assertTrue("502" in waiting.readAnswer())
        assertTrue(cancelled.await(5, TimeUnit.SECONDS), "the engine still has the request")
    }

    @Test
    fun `a request that back ends answer with an error is not blocked when they end`() {
        startBackends(4)
        endBackEnds(2, 0, call("idempotent", attempt = "0"))
        val caller = call("idempotent")
        nextArrival().let { onLoop { it.respond(404, headers("Id" to "7", "Signed" to "1"), ByteArray(0)) } }
        nextArrival().let { onLoop { it.respond(404, headers("Id" to "7", "Signed" to "1"), ByteArray(0)) } }
        assertTrue("404" in caller.readAnswer())
        repeat(2) { nextSend() }
        assertEquals(emptyList(), onLoop { crashes.evidence() }.crashes.flatMap { it.requests })
    }

    @Test
    fun `connections of a service without groups that are lost while its back ends run accuse nothing`() {
        startBackends(4)
        repeat(3) { attempt ->
            val caller = call("idempotent", attempt = "$attempt")
            repeat(2) { nextArrival().let { onLoop(it::abort) } }
            assertTrue("502" in caller.readAnswer())
            timePassed += 3.seconds
            onLoop { crashes.check() }
        }
        assertEquals(emptyList(), onLoop { crashes.evidence() }.crashes)
    }
}
