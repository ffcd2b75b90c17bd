package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.PaceSample
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a pace that is lost on its way, and against messages that grow where there is nothing to report. */
class PaceExchangeTest {
    private var now = 10.seconds
    private val logged = mutableListOf<String>()
    private val head = BackendServer("e1")

    private fun exchange(name: String) =
        PaceExchange(ProcessName(name), MonotonicClock { now }) { event, _ -> logged += event }

    private fun backend(server: String) =
        ChosenBackend(BackendServer(server), Endpoint("10.0.0.1:80"), GroupId("m.1-$server"), "m")

    private fun PaceExchange.measure() {
        repeat(40) { recordPause(backend("e2"), 40.milliseconds) }
        repeat(3) { recordPause(backend("e1"), 400.milliseconds) }
    }

    @Test
    fun `a gateway without streams at a slow group learns of it from the digest`() {
        val controller = exchange("c")
        (1..6).forEach { number ->
            val report = assertNotNull(exchange("n$number").also { it.measure() }.report())
            controller.received(ProcessName("n$number"), report)
        }
        val digest = assertNotNull(controller.digest())
        assertEquals(listOf("group_slow"), logged)
        val other = exchange("other")
        assertEquals(1.0, other.slowness(head, 1.0))
        other.digestReceived(CompactCounts.of(digest))
        assertTrue(other.slowness(head, 1.0) > PaceExchange.SLOW_GROUP)
        other.digestReceived(null)
        assertEquals(1.0, other.slowness(head, 1.0), "no view of the fleet")
        assertEquals(listOf("group_slow", "health_view_regained", "health_view_lost"), logged)
    }

    @Test
    fun `in a small fleet the pace is merged from heartbeats`() {
        val task = exchange("n1")
        (2..4).forEach { number ->
            task.received(ProcessName("n$number"), assertNotNull(exchange("n$number").also { it.measure() }.report()))
        }
        task.report()
        assertTrue(task.slowness(head, 1.0) > PaceExchange.SLOW_GROUP)
    }

    @Test
    fun `without measurements the messages have no field`() {
        assertNull(exchange("n1").report())
        assertNull(exchange("n1").digest())
        val sender = GatewayRecord("n1", 1, "10.0.0.1", 7000, "10.0.0.1:80", "a")
        val lease = HeldControllerLease(7, LeaseRecord(ProcessName("n1"), LeaseEpoch(3), "n", 1.2.seconds))
        val digest = FleetDigest(sender, 3, 1, ByteArray(0), ByteArray(0), true, emptyMap(), lease)
        for (message in listOf(Heartbeat(sender, 1, ready = true, leaving = false), digest)) {
            assertTrue("health" !in PeerCodec.encode(message).decodeToString(), "$message")
        }
        val full = digest.copy(health = byteArrayOf(1, 2, 3, 4))
        val decoded = PeerCodec.decode(PeerCodec.encode(full)) as FleetDigest
        assertContentEquals(full.health, decoded.health)
    }

    @Test
    fun `a report is the same after encoding, and a cut one loses only its last entry`() {
        val samples = mapOf(
            CompactName.of("e1") to PaceSample(12.0, 7, 3, 1),
            CompactName.of("e2") to PaceSample(null, 0, 9, 0),
        )
        val bytes = PaceFormat.encode(samples)
        assertEquals(samples, PaceFormat.decode(bytes))
        assertEquals(1, PaceFormat.decode(bytes.copyOf(bytes.size - 1)).size)
    }
}
