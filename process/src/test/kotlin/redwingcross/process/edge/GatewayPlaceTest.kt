package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.places.GatewayStart
import redwingcross.version.places.PlaceAnswer
import redwingcross.version.places.PlaceKind
import redwingcross.version.places.PlaceNumber
import redwingcross.version.places.PlaceReport
import redwingcross.version.places.PlaceRequest
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Guards against a gateway that sends a request elsewhere than the owner of the places granted, keeps a place that it
 * does not need, or hangs without an owner.
 */
class GatewayPlaceTest : GatewayFixture() {
    private val reports = LinkedBlockingQueue<PlaceReport>()
    private val results = LinkedBlockingQueue<PlaceResult>()
    private var epoch = 3L

    // Called by the constructor of the base class, so it must not touch the fields before it is used.
    override fun places() = PlaceNetwork(
        GatewayStart(ProcessName("self"), 1),
        ownerEpoch = { epoch },
        ownEpoch = { null },
        fleetSize = { 75 },
        sendToOwner = { reports.put(it.report) },
        sendToGateway = { _, _ -> },
        count = { results.put(it) },
    )

    private fun nextReport() = assertNotNull(reports.poll(5, TimeUnit.SECONDS), "no report to the owner in 5 s")

    private fun answer(answer: PlaceAnswer, from: Long = epoch) =
        onLoop { gateway.placeMessageReceived(PlaceMessage.Answer(from, answer)) }

    private fun grant(report: PlaceReport, head: String) =
        answer(PlaceAnswer.Granted(PlaceNumber(report.sequence), BackendServer(head)))

    @Test
    fun `a request goes to the group that the owner granted`() {
        startEngines(4)
        val heads = List(4) { "e$it" }
        for (head in heads) {
            val sent = generateSequence {
                val caller = generate("x", "plain-generation")
                grant(nextReport(), head)
                val backend = assertNotNull(sends.poll(5, TimeUnit.SECONDS)).server.value
                nextArrival().respondSigned("ok")
                caller.readAnswer()
                val freed = nextReport()
                assertNull(freed.request)
                assertEquals(emptyMap(), freed.held)
                backend.takeIf { results.poll() == PlaceResult.GRANTED }
            }.first()
            assertEquals(head, sent)
        }
    }

    @Test
    fun `a request waits while it is queued and goes to the group that is granted later`() {
        startEngines(2)
        val caller = generate("x", "plain-generation")
        val asked = nextReport()
        answer(PlaceAnswer.Queued(PlaceNumber(asked.sequence)))
        if (results.poll(5, TimeUnit.SECONDS) == PlaceResult.QUEUED) {
            assertNull(sends.poll(50, TimeUnit.MILLISECONDS), "sent without a place")
            grant(asked, "e1")
            assertEquals("e1", assertNotNull(sends.poll(5, TimeUnit.SECONDS)).server.value)
        }
        nextArrival().respondSigned("ok")
        assertTrue("ok" in caller.readAnswer())
    }

    @Test
    fun `a grant that nobody needs any more is given back`() {
        startEngines(2)
        val caller = generate("x", "plain-generation")
        val asked = nextReport()
        nextArrival().respondSigned("ok")
        assertTrue("ok" in caller.readAnswer(), "served without an answer of the owner")
        assertEquals(PlaceResult.NO_ANSWER, results.poll(5, TimeUnit.SECONDS))
        grant(asked, "e1")
        val last = generateSequence { reports.poll(200, TimeUnit.MILLISECONDS) }.last()
        assertEquals(emptySet(), last.open)
    }

    @Test
    fun `a silent stream for which the owner has no place stays at its group and gives the request for a place up`() {
        startEngines(2)
        val caller = generate("x")
        grant(nextReport(), "e0")
        val arrival = nextArrival()
        onLoop {
            arrival.beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
            arrival.write("id: 1\ndata: a\n\n".toByteArray())
        }
        caller.readThrough("data: a\n\n")
        val asked = generateSequence {
            onLoop(gateway::checkProgress)
            listOfNotNull(reports.poll(100, TimeUnit.MILLISECONDS))
        }.take(30).flatten().first { it.request != null }
        answer(PlaceAnswer.Queued(PlaceNumber(asked.sequence)))
        assertEquals(emptySet(), nextReport().open)
        onLoop {
            arrival.write("id: 2\ndata: b\n\n".toByteArray())
            arrival.endStream()
        }
        val (rest, wasReset) = caller.readUntilClosed()
        assertTrue("data: b" in rest && !wasReset, "'$rest', reset: $wasReset")
    }

    @Test
    fun `a silent stream for which the owner has no place asks it at most once in 500 ms`() {
        startEngines(2)
        val caller = generate("x")
        grant(nextReport(), "e0")
        val arrival = nextArrival()
        onLoop {
            arrival.beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
            arrival.write("id: 1\ndata: a\n\n".toByteArray())
        }
        caller.readThrough("data: a\n\n")
        val askedAt = mutableListOf<TimeMark>()
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < 4.seconds) {
            onLoop(gateway::checkProgress)
            repeat(20) {
                val report = reports.poll(5, TimeUnit.MILLISECONDS)
                if (report?.request != null) {
                    askedAt += TimeSource.Monotonic.markNow()
                    answer(PlaceAnswer.Queued(PlaceNumber(report.sequence)))
                }
            }
        }
        val pauses = askedAt.zipWithNext { one, next -> one.elapsedNow() - next.elapsedNow() }
        assertTrue(pauses.size >= 2, "asked ${askedAt.size} times")
        assertTrue(pauses.all { it >= 450.milliseconds }, "$pauses")
        caller.close()
    }

    @Test
    fun `a request that waits for a place is sent when another owner follows`() {
        startEngines(2)
        val caller = generate("x", "plain-generation")
        val asked = nextReport()
        onLoop {
            gateway.placeMessageReceived(PlaceMessage.Answer(epoch, PlaceAnswer.Queued(PlaceNumber(asked.sequence))))
            epoch++
            gateway.checkProgress()
        }
        nextArrival().respondSigned("ok")
        assertTrue("ok" in caller.readAnswer())
    }

    @Test
    fun `a request that is queued by an owner that falls silent is answered`() {
        startEngines(2)
        val caller = generate("x", "plain-generation")
        val asked = nextReport()
        answer(PlaceAnswer.Queued(PlaceNumber(asked.sequence)))
        val answered = generateSequence {
            onLoop(gateway::checkProgress)
            listOfNotNull(outcomes.poll(50, TimeUnit.MILLISECONDS))
                .also { arrivals.poll()?.respondSigned("ok") }
        }.take(100).flatten().first()
        assertEquals("HTTP/1.1 ${if (answered.sends > 0) 200 else 503}", caller.readAnswer().substring(0, 12))
    }

    @Test
    fun `without answers requests are soon sent without asking`() {
        startEngines(2)
        repeat(5) {
            val caller = generate("x", "plain-generation")
            nextArrival().respondSigned("ok")
            caller.readAnswer()
        }
        assertTrue(onLoop { gateway.isPlaceOwnerLost })
        assertTrue(PlaceResult.OWNER_LOST in results)
    }

    @Test
    fun `messages are the same after encoding and invalid bytes are none`() {
        val kind = PlaceKind(ServiceName("desk-assist"), model)
        val head = BackendServer("engine-117")
        val report = PlaceReport(
            GatewayStart(ProcessName("gateway-104"), 1_780_000_000_000),
            4711,
            mapOf(head to 2, BackendServer("engine-12") to 1),
            setOf(PlaceNumber(4711)),
            PlaceRequest(kind, setOf(head), isResuming = true),
        )
        val messages = listOf(
            PlaceMessage.Report(report),
            PlaceMessage.Report(report.copy(request = null)),
            PlaceMessage.Answer(7, PlaceAnswer.Granted(PlaceNumber(4711), head)),
            PlaceMessage.Answer(7, PlaceAnswer.Queued(PlaceNumber(1))),
            PlaceMessage.Answer(7, PlaceAnswer.Declined(PlaceNumber(1))),
        )
        for (message in messages) {
            val bytes = PlaceCodec.encode(message)
            assertTrue(PlaceCodec.isPlaceMessage(bytes))
            assertEquals(message, PlaceCodec.decode(bytes))
            assertTrue(bytes.size < 130, "${bytes.size} bytes for $message")
            for (end in 2 until bytes.size) assertNull(PlaceCodec.decode(bytes.copyOf(end)), "cut at $end")
        }
        val negative = report.copy(held = mapOf(head to -1))
        assertNull(PlaceCodec.decode(PlaceCodec.encode(PlaceMessage.Report(negative))))
    }
}
