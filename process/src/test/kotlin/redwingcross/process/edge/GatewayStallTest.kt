package redwingcross.process.edge

import redwingcross.connection.http.CallerExchange
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against requests that wait at a stalled group although another one could answer them, and against marks that
 * move what must not run twice, leave a model without groups or hide the requests that end engines.
 */
class GatewayStallTest : GatewayFixture() {
    private val reports = LinkedBlockingQueue<SilenceReport>()
    override val sharedHealth get() = SharedHealthDependencies(ProcessName("self")) { reports.put(it) }
    private var sequence = 0L

    private fun mark(groups: Set<GroupId>) =
        onLoop { gateway.sharedHealth?.stalls?.announced(StalledAnnouncement(1, ++sequence, groups)) }

    private fun nextGroup() = assertNotNull(assertNotNull(sends.poll(5, TimeUnit.SECONDS)).group)

    private val all = setOf(GroupId("m.1-0"), GroupId("m.1-1"))

    /** Marks the group of a request, or [marked], and checks that the group answers it. */
    private fun assertStays(marked: Set<GroupId>? = null, request: () -> Socket) {
        val caller = request()
        mark(marked ?: setOf(nextGroup()))
        val arrival = nextArrival()
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS), "the request was sent again")
        arrival.respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
    }

    private fun CallerExchange.beginEvents() = onLoop {
        beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
        write("id: 1\ndata: a\n\n".toByteArray())
    }

    @Test
    fun `a request without an event leaves a marked group and is answered by another one`() {
        startEngines(2)
        val caller = generate("p1")
        val first = nextGroup()
        nextArrival()
        mark(setOf(first))
        val second = nextGroup()
        assertTrue(first != second, "$second")
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        assertTrue("data: a" in caller.readAnswer())
    }

    @Test
    fun `a request stays at a marked group if no retry is left`() {
        retryExtra = 0.0
        startEngines(2)
        assertStays { generate("p1") }
    }

    @Test
    fun `a request that must not run twice stays at a marked group`() {
        startEngines(2)
        assertStays { call("non-idempotent", fields = "Model: m\r\n") }
    }

    @Test
    fun `if all groups are marked they are used and nothing is moved`() {
        startEngines(2)
        mark(all)
        assertStays(all) { generate("p1") }
    }

    @Test
    fun `a gateway with a stream that progresses doesn't follow a mark and reports the progress`() {
        startEngines(2)
        val caller = generate("p1")
        val group = nextGroup()
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        mark(setOf(group))
        assertEquals(0, reports.poll(5, TimeUnit.SECONDS)?.streams)
        assertEquals(emptySet(), onLoop { gateway.sharedHealth?.stalls?.marked() })
        onLoop(arrival::endStream)
        caller.readAnswer()
    }

    @Test
    fun `a silent stream is reported, and its next event as well`() {
        startEngines(1)
        val caller = generate("p1")
        val arrival = nextArrival()
        arrival.beginEvents()
        caller.readThrough("data: a\n\n")
        val report = assertNotNull(reports.poll(5, TimeUnit.SECONDS))
        assertEquals(1, report.streams)
        onLoop {
            arrival.write("id: 2\ndata: b\n\n".toByteArray())
            arrival.endStream()
        }
        caller.readAnswer()
        assertTrue(generateSequence { reports.poll() }.any { it.streams == 0 }, "no report of the progress")
    }

    @Test
    fun `a request that left a stalled group is among those under which its engine ended`() {
        startEngines(2)
        val caller = generate("p1")
        val group = nextGroup()
        nextArrival()
        mark(setOf(group))
        nextArrival().respondSigned("id: 1\ndata: a\n\n")
        caller.readAnswer()
        onLoop { gateway.groupsLost(setOf(group)) }
        val crash = onLoop { crashes.evidence().crashes }.single()
        assertEquals(listOf("7"), crash.requests.map { it.attempt })
    }
}
