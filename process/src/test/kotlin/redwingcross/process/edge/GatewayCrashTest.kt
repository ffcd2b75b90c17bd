package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineStart
import redwingcross.version.forwarding.ChosenBackend
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that end one engine after the other, and against refusals that are not true or that hit
 * requests without the part that ends engines.
 */
class GatewayCrashTest : GatewayFixture() {
    @Test
    fun `a request under which two engines ended is not sent to a third`() {
        startEngines(4)
        val caller = generate("p1,p2")
        repeat(2) { nextArrival().let { onLoop(it::abort) } }
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "a third engine got the request")
    }

    @Test
    fun `a stream whose engine ended is answered by the next engine`() {
        startEngines(4)
        val caller = generate("p1,p2")
        nextArrival().let { onLoop(it::abort) }
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
    }

    private fun CallerExchange.beginWithComment() {
        onLoop {
            beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
            write(": keep-alive\n\n".toByteArray())
        }
        awaitHandled(": keep-alive\n\n")
    }

    @Test
    fun `a request under which two engines ended after a comment is not sent to a third`() {
        startEngines(4)
        val caller = generate("p1,p2")
        repeat(2) {
            val arrival = nextArrival()
            arrival.beginWithComment()
            onLoop(arrival::abort)
        }
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "a third engine got the request")
    }

    @Test
    fun `comments before the first event reach the caller with it, but not those of an engine that ended`() {
        startEngines(4)
        val caller = generate("p1,p2")
        val first = nextArrival()
        first.beginWithComment()
        onLoop(first::abort)
        val second = nextArrival()
        second.beginWithComment()
        onLoop {
            second.write("id: 1\ndata: a\n\n".toByteArray())
            second.endStream()
        }
        val answer = caller.readAnswer()
        assertEquals(1, Regex(": keep-alive\n\n").findAll(answer).count(), answer)
        assertTrue(answer.indexOf(": keep-alive") in 0 until answer.indexOf("id: 1\ndata: a\n\n"), answer)
    }

    /** The engine that the gateway last sent a request to; waits for the next send. */
    private fun nextSend() = assertNotNull(sends.poll(5, TimeUnit.SECONDS), "no request was sent in 5 s")

    /** Attempts that are suspected because of the end of each engine, once the controller has reported [engines]. */
    private fun suspectsOnceLost(engines: List<ChosenBackend>): Map<String, List<String>> {
        val evidence = onLoop {
            crashes.groupsLost(engines.mapNotNull { it.group }.toSet())
            crashes.evidence()
        }
        return evidence.crashes.associate { crash -> crash.engine to crash.requests.map { it.attempt } }
    }

    private fun suspectAtEach(engines: List<ChosenBackend>) = engines.associate { it.server.value to listOf("7") }

    @Test
    fun `a stream whose connections close after the head at two engines is not sent to a third`() {
        startRawBackends(4, pool)
        val caller = generate("p1,p2")
        repeat(2) { nextRawArrival().use { it.send(STREAM_HEAD + ": keep-alive\n\n") } }
        assertTrue("502" in caller.readAnswer())
        val engines = List(2) { nextSend() }
        assertNull(sends.poll(300, TimeUnit.MILLISECONDS), "a third engine got the request")
        assertEquals(suspectAtEach(engines), suspectsOnceLost(engines))
    }

    @Test
    fun `an empty stream that is complete is no end of its engine`() {
        startEngines(4)
        repeat(4) {
            val caller = generate("p1,p2")
            nextArrival().respondSigned("")
            assertTrue("200 OK" in caller.readAnswer())
        }
        assertEquals(emptyMap(), suspectsOnceLost(List(4) { nextSend() }))
        assertNull(sends.poll(), "a request was sent again after a whole answer")
    }

    @Test
    fun `a plain request under which two engines ended inside the body is not sent to a third`() {
        startEngines(4)
        val caller = generate("p1,p2", "plain-generation")
        repeat(2) {
            val arrival = nextArrival()
            onLoop {
                arrival.beginStream(200, headers("Id" to "7", "Signed" to "1"))
                arrival.write("part".toByteArray())
            }
            awaitHandled("part")
            onLoop(arrival::abort)
        }
        val answer = caller.readAnswer()
        assertTrue("502" in answer && "part" !in answer, answer)
        val engines = List(2) { nextSend() }
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "a third engine got the request")
        assertEquals(suspectAtEach(engines), suspectsOnceLost(engines))
    }

    @Test
    fun `a request that was moved from a lost group is not sent again after the next engine ended`() {
        startEngines(4)
        val caller = generate("p1,p2")
        nextArrival()
        val engines = mutableListOf(nextSend())
        onLoop { gateway.groupsLost(setOfNotNull(engines.single().group)) }
        nextArrival().let { onLoop(it::abort) }
        engines += nextSend()
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "a third engine got the request")
        assertEquals(suspectAtEach(engines), suspectsOnceLost(engines))
    }

    @Test
    fun `a request that stays at a lost group is a suspect of the loss and counted once`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1,p2")
        val arrival = nextArrival()
        val engine = nextSend()
        repeat(2) { onLoop { gateway.groupsLost(setOfNotNull(engine.group)) } }
        assertEquals(listOf("7"), onLoop { crashes.evidence().crashes }.single().requests.map { it.attempt })
        onLoop(arrival::abort)
        assertTrue("502" in caller.readAnswer())
        assertEquals(1, logged.count { it.startsWith("engine_end_observed ") }, "$logged")
    }

    @Test
    fun `a stream that is moved from a lost group after an event is no suspect and goes on`() {
        startEngines(4)
        val caller = generate("p1,p2")
        val lost = nextArrival()
        onLoop {
            lost.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            lost.write("id: 1\ndata: a\n\n".toByteArray())
        }
        caller.readThrough("data: a\n\n")
        val engines = listOf(nextSend())
        onLoop { gateway.groupsLost(setOfNotNull(engines.single().group)) }
        val second = nextArrival()
        assertEquals("1", second.head.headers.get("Resume"))
        second.respondSigned("id: 2\ndata: b\n\n")
        assertTrue("data: b" in caller.readAnswer())
        assertEquals(emptyList(), suspectsOnceLost(engines).values.flatten())
    }

    @Test
    fun `each request of a lost zone is sent once more, also with a suspect part`() {
        startEngines(6)
        val callers = List(3) { generate("p1,own$it") }
        repeat(callers.size) { nextArrival() }
        val zone = List(callers.size) { nextSend() }
        onLoop {
            val ended = GroupId("m.1-100")
            crashes.connectionLost(
                zone.first().copy(server = BackendServer("ended"), group = ended),
                requestWith("p1"),
                false,
            )
            crashes.groupsLost(setOf(ended))
            gateway.groupsLost(zone.mapNotNull { it.group }.toSet())
        }
        repeat(callers.size) { nextArrival().respondSigned("id: 1\ndata: a\n\n") }
        callers.forEach { assertTrue("data: a" in it.readAnswer()) }
    }

    @Test
    fun `a request that stays at a lost group is sent once more when that ends it, also with a suspect part`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1,own1")
        val arrival = nextArrival()
        val engine = nextSend()
        onLoop {
            val ended = GroupId("m.1-100")
            crashes.connectionLost(
                engine.copy(server = BackendServer("ended"), group = ended),
                requestWith("p1"),
                false,
            )
            crashes.groupsLost(setOf(ended))
            gateway.groupsLost(setOfNotNull(engine.group))
            retryExtra = 100.0
            arrival.abort()
        }
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
    }

    private fun requestWith(vararg parts: String) =
        RequestIdentity(AttemptId(parts.joinToString("-")), parts.map(::PromptPart).toSet())

    /** Lets three engines end at separate times, each under a request with the part "bad" and one of its own. */
    private fun blockPart() = onLoop {
        repeat(3) { index ->
            val lost = GroupId("m.1-10$index")
            val engine =
                ChosenBackend(BackendServer("ended-$index"), Endpoint("127.0.0.1:1"), lost, "m", EngineStart(1))
            crashes.connectionLost(engine, requestWith("bad", "own$index"), false)
            crashes.groupsLost(setOf(lost))
            timePassed += 3.seconds
        }
        crashes.check()
    }

    @Test
    fun `a request with a blocked part is refused as not run before any engine gets it`() {
        startEngines(2)
        blockPart()
        val answer = generate("p1,bad").readAnswer()
        assertTrue("503" in answer && "Retry-Delay: 30s" in answer, answer)
        assertNull(arrivals.poll(100, TimeUnit.MILLISECONDS), "an engine got a request with a blocked part")
        assertEquals(PromptPart("bad"), blockedRequests.poll(5, TimeUnit.SECONDS))
    }

    @Test
    fun `a request that shares no blocked part is served while another part is blocked`() {
        startEngines(2)
        blockPart()
        val caller = generate("p1,own1")
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
    }

    @Test
    fun `a request at an engine is answered although one of its parts is blocked meanwhile, and lifts the block`() {
        startEngines(2)
        val caller = generate("p1,bad")
        val arrival = nextArrival()
        blockPart()
        onLoop(gateway::checkProgress)
        assertTrue(logged.none { it.startsWith("prompt_part_refused") }, "$logged")
        arrival.respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
        assertEquals(emptyList(), onLoop { crashes.blockedTraits() })
    }

    @Test
    fun `a request that waits for a place is refused when one of its parts is blocked`() {
        startEngines(1)
        val running = List(pool.slots) { generate("p1").also { nextArrival() } }
        val waiting = generate("p1,bad")
        awaitWaitingRequest()
        blockPart()
        val answer = waiting.readAnswer()
        assertTrue("503" in answer && "Retry-Delay: 30s" in answer, answer)
        running.forEach(Socket::close)
    }

    @Test
    fun `a request that may have run is not refused as not run when one of its parts is blocked`() {
        startEngines(2)
        val caller = generate("p1,bad")
        nextArrival().let { first ->
            blockPart()
            onLoop(first::abort)
        }
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(100, TimeUnit.MILLISECONDS), "another engine got a request with a blocked part")
    }

    @Test
    fun `a request that waits for a place after an engine ended is not refused as not run`() {
        startEngines(2)
        val caller = generate("p1,bad")
        val first = nextArrival()
        onLoop {
            val full = List(2) { BackendServer("e$it") }.associateWith { 2 * pool.slots }
            gateway.peerLoadReceived(ProcessName("other"), full)
            first.abort()
        }
        awaitWaitingRequest()
        blockPart()
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(100, TimeUnit.MILLISECONDS), "another engine got a request with a blocked part")
    }
}
