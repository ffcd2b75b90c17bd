package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import redwingcross.request.GroupId
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Guards against streams that the gateway cancels at an engine that is silent for a second or two and then goes on,
 * although they can't go on elsewhere.
 */
class GatewaySilenceTest : GatewayFixture() {
    private fun checkProgressFor(time: Duration) {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < time) {
            onLoop(gateway::checkProgress)
            Thread.sleep(CHECK_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun CallerExchange.beginEvents() = onLoop {
        beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
        write("id: 1\ndata: a\n\n".toByteArray())
    }

    private fun beginStreamAtOneOfTwoEngines(): Pair<Socket, CallerExchange> {
        startEngines(2)
        val caller = generate("p1")
        val first = nextArrival()
        first.beginEvents()
        caller.readThrough("data: a\n\n")
        return caller to first
    }

    private fun assertGoesOn(caller: Socket, arrival: CallerExchange) {
        onLoop {
            arrival.write("id: 2\ndata: b\n\n".toByteArray())
            arrival.endStream()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in rest && rest.endsWith("0\r\n\r\n") && !wasReset, "'$rest', reset: $wasReset")
        assertNull(arrivals.poll(), "the request was sent again")
    }

    private fun nextGroup(): GroupId = assertNotNull(assertNotNull(sends.poll(5, TimeUnit.SECONDS)).group)

    @Test
    fun `a stream that is silent for a while is not broken off if no retry is left`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1")
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        checkProgressFor(LONG_SILENCE)
        assertGoesOn(caller, arrival)
        assertEquals(1, logged.count { it.startsWith("move_declined ") && it.endsWith(" reason=no_retry") }, "$logged")
    }

    @Test
    fun `a stream that is silent for a while is not broken off if no other group has a place`() {
        startEngines(1)
        val caller = generate("p1")
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        checkProgressFor(LONG_SILENCE)
        assertGoesOn(caller, arrival)
        assertEquals(1, logged.count { it.startsWith("move_declined ") && it.endsWith(" reason=no_place") }, "$logged")
    }

    @Test
    fun `the log tells why a stream that its engine broke off is not sent again`() {
        startEngines(2)
        for ((retries, expected) in listOf(100.0 to "retry=true next=OfferAgain", 0.0 to "retry=false next=BreakOff")) {
            retryExtra = retries
            val caller = generate("p1")
            breakOffAfterFirstEvent(caller)
            caller.use {
                val line = generateSequence { logged.poll(5, TimeUnit.SECONDS) }.first { it.startsWith("offer_ended ") }
                assertTrue(expected in line, line)
            }
            if (retries > 0) nextArrival()
        }
    }

    @Test
    fun `a request without an event that waits at a silent group is not answered with an error if no retry is left`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1")
        val arrival = nextArrival()
        checkProgressFor(LONG_SILENCE)
        arrival.beginEvents()
        assertGoesOn(caller, arrival)
    }

    @Test
    fun `a silent stream goes on at another group that has a place`() {
        startEngines(2)
        val caller = generate("p1")
        nextArrival().beginEvents()
        caller.readThrough("data: a\n\n")
        checkProgressFor(LONG_SILENCE)
        val second = nextArrival()
        assertEquals("1", second.head.headers.get("Resume"))
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream"))
        }
        assertGoesOn(caller, second)
    }

    @Test
    fun `a silent stream goes on at its own engine if the next one refuses it`() {
        val (caller, first) = beginStreamAtOneOfTwoEngines()
        checkProgressFor(LONG_SILENCE)
        nextArrival().decline()
        assertGoesOn(caller, first)
    }

    @Test
    fun `a silent stream goes on at its own engine if that one does so before the next one has an event`() {
        val (caller, first) = beginStreamAtOneOfTwoEngines()
        checkProgressFor(LONG_SILENCE)
        val second = nextArrival()
        val isCancelled = LinkedBlockingQueue<Unit>()
        onLoop {
            second.onDisconnect = { isCancelled.put(Unit) }
            second.beginStream(200, headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream"))
        }
        assertGoesOn(caller, first)
        assertNotNull(isCancelled.poll(5, TimeUnit.SECONDS), "the next engine still runs the request")
    }

    @Test
    fun `a stream that goes on at its own engine has the comments of that one only`() {
        startEngines(2)
        val caller = generate("p1")
        val head = { signature: String ->
            headers("Id" to "7", "Signed" to signature, "Content-Type" to "text/event-stream")
        }
        val first = nextArrival()
        onLoop {
            first.beginStream(200, head("1"))
            first.write(": first\n\n".toByteArray())
        }
        awaitHandled(": first")
        checkProgressFor(LONG_SILENCE)
        val second = nextArrival()
        onLoop {
            second.beginStream(200, head("2"))
            second.write(": second\n\n".toByteArray())
        }
        awaitHandled(": second")
        onLoop {
            first.write("id: 1\ndata: a\n\n".toByteArray())
            first.endStream()
        }
        val answer = caller.readAnswer()
        assertTrue("Signed: 1" in answer && ": first" in answer && "data: a" in answer && "second" !in answer, answer)
    }

    @Test
    fun `the engine that a silent stream left stops once the next one has an event`() {
        val (caller, first) = beginStreamAtOneOfTwoEngines()
        val isCancelled = LinkedBlockingQueue<Unit>()
        onLoop { first.onDisconnect = { isCancelled.put(Unit) } }
        checkProgressFor(LONG_SILENCE)
        val second = nextArrival()
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "2", "Content-Type" to "text/event-stream"))
        }
        assertGoesOn(caller, second)
        assertNotNull(isCancelled.poll(5, TimeUnit.SECONDS), "the first engine still runs the request")
    }

    @Test
    fun `both engines stop when the caller of a stream that is moving leaves`() {
        val (caller, first) = beginStreamAtOneOfTwoEngines()
        checkProgressFor(LONG_SILENCE)
        val second = nextArrival()
        val cancelled = LinkedBlockingQueue<Unit>()
        onLoop { listOf(first, second).forEach { it.onDisconnect = { cancelled.put(Unit) } } }
        caller.close()
        repeat(2) { assertNotNull(cancelled.poll(5, TimeUnit.SECONDS), "an engine still runs the request") }
    }

    @Test
    fun `a silent stream that can't move yet moves once another group has a place`() {
        startEngines(1)
        val caller = generate("p1")
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        checkProgressFor(LONG_SILENCE)
        assertFalse(onLoop { arrival.isFinished })
        startEngines(2)
        checkProgressFor(CHECK_INTERVAL * 2)
        assertEquals("1", nextArrival().head.headers.get("Resume"))
        caller.close()
    }

    @Test
    fun `a plain answer that takes long is not begun again elsewhere`() {
        startEngines(2)
        val caller = generate("p1", "plain-generation")
        val arrival = nextArrival()
        checkProgressFor(LONG_SILENCE)
        assertNull(arrivals.poll(), "the request was sent again")
        arrival.respondSigned("whole")
        assertTrue("whole" in caller.readAnswer())
    }

    @Test
    fun `a stream whose caller reads slowly does not leave its group`() {
        startEngines(2)
        val caller = generate("p1")
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        val data = "x".repeat(LONG_EVENT_BYTES)
        onLoop { repeat(LONG_EVENTS) { arrival.write("id: ${it + 2}\ndata: $data\n\n".toByteArray()) } }
        checkProgressFor(LONG_SILENCE)
        assertNull(arrivals.poll(), "the request was sent again")
        caller.close()
    }

    @Test
    fun `a stream of a group that is reported lost is not broken off if no retry is left`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1")
        val group = nextGroup()
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        onLoop { gateway.groupsLost(setOf(group)) }
        assertGoesOn(caller, arrival)
    }

    @Test
    fun `a stream of a group that is reported lost is not broken off if no other group has a place`() {
        startEngines(1)
        val caller = generate("p1")
        val group = nextGroup()
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        onLoop { gateway.groupsLost(setOf(group)) }
        checkProgressFor(LONG_SILENCE)
        assertGoesOn(caller, arrival)
    }

    @Test
    fun `a stream of a group that is reported lost moves once another group has a place`() {
        startEngines(1)
        val caller = generate("p1")
        val group = nextGroup()
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        onLoop { gateway.groupsLost(setOf(group)) }
        assertFalse(onLoop { arrival.isFinished })
        startEngines(2)
        checkProgressFor(CHECK_INTERVAL * 2)
        assertEquals("1", nextArrival().head.headers.get("Resume"))
        caller.close()
    }

    @Test
    fun `a plain request of a group that is reported lost moves once a retry is left`() {
        retryExtra = 0.0
        startEngines(2)
        val caller = generate("p1", "plain-generation")
        val group = nextGroup()
        nextArrival()
        onLoop { gateway.groupsLost(setOf(group)) }
        onLoop { retryExtra = 100.0 }
        checkProgressFor(CHECK_INTERVAL * 2)
        nextArrival().respondSigned("whole")
        assertTrue("whole" in caller.readAnswer())
    }

    private companion object {
        /** Together far more than the buffers of the sockets hold. */
        const val LONG_EVENT_BYTES = 100_000
        const val LONG_EVENTS = 300

        /** The interval of the checks in a process. */
        val CHECK_INTERVAL = 100.milliseconds

        /** Longer than the time after which streams leave a silent group and, in the line, wait for a place. */
        val LONG_SILENCE = 3.seconds
    }
}
