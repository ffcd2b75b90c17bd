package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against outdated heartbeats that replace newer ones, and against processes that are listed for callers after
 * they stopped or lose their share of fleet-wide limits too early.
 */
class PeerTableTest {
    private fun record(node: String, start: Long = 1) = GatewayRecord(node, start, "10.0.0.1", 7340, "10.0.0.1:80", "a")

    private fun heartbeat(node: String, sequence: Long, start: Long = 1) = Heartbeat(
        record(node, start),
        sequence,
        ready = true,
        leaving = false,
        trafficSeen = false,
        emptyMap(),
        emptyMap(),
    )

    private val table = PeerTable(record("self"))

    @Test
    fun `a heartbeat that arrives out of order does not replace a newer one`() {
        val updated = table.received(heartbeat("a", 5), 1.seconds).received(heartbeat("a", 4), 2.seconds)
        assertEquals(5, updated.peers.getValue("a").heartbeat?.sequence)
        assertEquals(1.seconds, updated.peers.getValue("a").lastSeenAt)
    }

    @Test
    fun `heartbeats of a restarted process are accepted although their sequence restarts`() {
        val updated = table.received(heartbeat("a", 500), 1.seconds).received(heartbeat("a", 1, start = 2), 2.seconds)
        assertEquals(2, updated.peers.getValue("a").record.start)
    }

    @Test
    fun `a process without heartbeats is not alive but counts as part of the fleet until it expires`() {
        val updated = table.received(heartbeat("a", 1), 1.seconds)
        assertTrue(updated.alive(1.9.seconds).isNotEmpty())
        assertTrue(updated.alive(2.1.seconds).isEmpty())
        assertTrue("a" in updated.expired(5.seconds).allNodes)
        assertFalse("a" in updated.expired(11.1.seconds).allNodes)
    }

    @Test
    fun `processes that are only registered count as part of the fleet but not as alive`() {
        val registered = table.registered(listOf(record("a"), record("self")), 1.seconds)
        assertEquals(setOf("a", "self"), registered.allNodes)
        assertTrue(registered.alive(1.1.seconds).isEmpty())
    }

    @Test
    fun `a process without heartbeats from more than half of the fleet has no reachable majority`() {
        val updated = listOf("a", "b", "c", "d").fold(table) { known, node ->
            known.received(heartbeat(node, 1), 1.seconds)
        }
        assertTrue(updated.isMajorityReachable(1.5.seconds))
        val alone = updated.received(heartbeat("a", 2), 3.seconds)
        assertFalse(alone.isMajorityReachable(3.seconds + 100.milliseconds))
    }

    @Test
    fun `in a large fleet every process is sent at least two heartbeats within the timeout`() {
        val names = List(90) { "n$it" }
        val large = names.fold(table) { known, node -> known.received(heartbeat(node, 1), 1.seconds) }
        val interval = large.settings.heartbeatInterval
        val rounds = (large.unreachableAfter / interval).toInt()
        val reached = (1L..rounds).map { round -> large.heartbeatTargets(round).map { it.node } }
        assertTrue(reached.all { it.size <= large.settings.targetsPerRound }, "a round has too many targets")
        val counts = reached.flatten().groupingBy { it }.eachCount()
        for (node in names) assertTrue((counts[node] ?: 0) >= 2, "$node is sent ${counts[node]} heartbeats")
    }

    @Test
    fun `an encoded message is decoded unchanged and invalid bytes are decoded to null`() {
        val message = heartbeat("a", 7).copy(load = mapOf("e1" to 3))
        assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)))
        assertNull(PeerCodec.decode("not a message".toByteArray()))
        assertNull(PeerCodec.decode(ByteArray(0)))
    }

    @Test
    fun `VMs with more processor time are the first to take over the controller role`() {
        val weak = (1..40).map { record("weak-$it") }
        val strong = (1..3).map { record("strong-$it").copy(processors = 1.5) }
        val known = (weak + strong).fold(table) { peers, record ->
            peers.received(heartbeat("x", 1).copy(sender = record), 1.seconds)
        }
        assertTrue(known.rank(1.seconds) >= 3)
        assertEquals(strong.map { it.node }.toSet(), known.observers(1.seconds, 0).take(3).map { it.node }.toSet())
    }

    @Test
    fun `the first processes to take over are not all of one zone`() {
        val records = ('a'..'e').flatMap { zone -> (1..19).map { record("edge-$zone-$it").copy(zone = "$zone") } }
        val known = records.fold(table) { peers, record ->
            peers.received(heartbeat("x", 1).copy(sender = record), 1.seconds)
        }
        assertTrue(known.observers(1.seconds, 0).map { it.zone }.distinct().size > 1)
    }
}
