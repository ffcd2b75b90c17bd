package redwingcross.process.edge

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerTableTest {
    private fun record(node: String, start: Long = 1) = GatewayRecord(node, start, "10.0.0.1", 7340, "10.0.0.1:80", "a")

    private fun beat(node: String, sequence: Long, start: Long = 1) =
        Beat(record(node, start), sequence, ready = true, leaving = false, trafficSeen = false, emptyMap(), emptyMap())

    private val table = PeerTable(record("self"))

    @Test
    fun `a beat that was overtaken does not replace a newer one`() {
        val heard = table.heard(beat("a", 5), 1.seconds).heard(beat("a", 4), 2.seconds)
        assertEquals(5, heard.peers.getValue("a").beat?.sequence)
        assertEquals(1.seconds, heard.peers.getValue("a").heardAt)
    }

    @Test
    fun `a restarted process is heard although its sequence starts anew`() {
        val heard = table.heard(beat("a", 500), 1.seconds).heard(beat("a", 1, start = 2), 2.seconds)
        assertEquals(2, heard.peers.getValue("a").record.start)
    }

    @Test
    fun `a silent process is not named to callers but keeps its part of shared bounds for a while`() {
        val heard = table.heard(beat("a", 1), 1.seconds)
        assertTrue(heard.alive(1.9.seconds).isNotEmpty())
        assertTrue(heard.alive(2.1.seconds).isEmpty())
        assertTrue("a" in heard.expired(5.seconds).everyone)
        assertFalse("a" in heard.expired(11.1.seconds).everyone)
    }

    @Test
    fun `processes that are only registered count for shared bounds and not as alive`() {
        val registered = table.registered(listOf(record("a"), record("self")), 1.seconds)
        assertEquals(setOf("a", "self"), registered.everyone)
        assertTrue(registered.alive(1.1.seconds).isEmpty())
    }

    @Test
    fun `a process that hears less than half of the others knows that it may be cut off`() {
        val heard = listOf("a", "b", "c", "d").fold(table) { known, node -> known.heard(beat(node, 1), 1.seconds) }
        assertTrue(heard.hearsMajority(1.5.seconds))
        val alone = heard.heard(beat("a", 2), 3.seconds)
        assertFalse(alone.hearsMajority(3.seconds + 100.milliseconds))
    }

    @Test
    fun `in a large fleet every process hears every other before it counts as silent`() {
        val names = List(90) { "n$it" }
        val large = names.fold(table) { known, node -> known.heard(beat(node, 1), 1.seconds) }
        val interval = large.times.beatInterval
        val rounds = (large.silence / interval).toInt()
        val reached = (1L..rounds).map { round -> large.targets(round).map { it.node } }
        assertTrue(reached.all { it.size <= large.times.targets }, "one round costs no more than in a small fleet")
        val counts = reached.flatten().groupingBy { it }.eachCount()
        for (node in names) assertTrue((counts[node] ?: 0) >= 2, "$node is sent ${counts[node]} beats")
    }

    @Test
    fun `messages survive encoding, and bytes that are none are told apart`() {
        val message = beat("a", 7).copy(load = mapOf("e1" to 3))
        assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)))
        assertNull(PeerCodec.decode("not a message".toByteArray()))
        assertNull(PeerCodec.decode(ByteArray(0)))
    }
}
