package redwingcross.process.edge

import redwingcross.process.usage.CountingProcess
import redwingcross.process.usage.ReportedCounts
import redwingcross.process.usage.UsageWindow
import redwingcross.request.Customer
import redwingcross.request.ProcessName
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against messages that differ from those of earlier versions while usage is not reported. */
class UsageMessagesTest {
    private val sender = GatewayRecord("n1", 1, "10.0.0.1", 7000, "10.0.0.1:80", "a")
    private val lease = HeldControllerLease(7, LeaseRecord(ProcessName("n1"), LeaseEpoch(3), "n", 1.2.seconds))
    private val progress = mapOf(UpdateSource.CONFIGURATION to WatchProgress(4, 5))
    private val heartbeat =
        Heartbeat(sender, 1, ready = true, leaving = false, true, progress, mapOf("e1" to 9), lease)
    private val digest =
        FleetDigest(sender, 3, 1, byteArrayOf(1, 2, 3, 4), byteArrayOf(5, 6, 7, 8), true, progress, lease)

    @OptIn(ExperimentalStdlibApi::class)
    private fun PeerMessage.toHex() = PeerCodec.encode(this).toHexString()

    /** The bytes were written by the version before the usage reports. */
    @Test
    fun `messages without clocks are encoded as before`() {
        assertEquals(HEARTBEAT, heartbeat.toHex())
        assertEquals(DIGEST, digest.toHex())
    }

    @Test
    fun `clocks and counts are the same after encoding, and short`() {
        val clocks = listOf(
            heartbeat.copy(clock = ProcessClock(1_800_000_000_000, 86_400_000)),
            digest.copy(fleetMillis = 1_800_000_000_000),
        )
        for (message in clocks) assertEquals(message.toHex(), PeerCodec.decode(PeerCodec.encode(message))?.toHex())
        assertTrue(PeerCodec.encode(clocks[0]).size - PeerCodec.encode(heartbeat).size <= 24)
        assertTrue(PeerCodec.encode(clocks[1]).size - PeerCodec.encode(digest).size <= 24)
        val windows = mapOf(UsageWindow(360_000_000) to List(5) { Customer("hule93$it") to 412 }.toMap())
        val bytes = PeerCodec.encode(UsageCounts.of(sender, windows))
        val decoded = (PeerCodec.decode(bytes) as UsageCounts).toReported()
        assertEquals(ReportedCounts(CountingProcess("n1", 1), windows), decoded)
        assertTrue(bytes.size <= 200, "${bytes.size} bytes")
    }

    internal companion object {
        const val HEARTBEAT =
            "9f6462656174bf6673656e646572bf646e6f6465626e31657374617274016269706831302e302e302e316870656572506f72" +
                "74191b586763616c6c6572736b31302e302e302e313a3830647a6f6e656161ff6873657175656e636501657265616479f567" +
                "6c656176696e67f46b747261666669635365656ef568666f6c6c6f776564bf6d434f4e46494755524154494f4ebf67636861" +
                "6e6765640469636f6e6669726d656405ffff646c6f6164bf62653109ff6464757479bf6776657273696f6e07667265636f72" +
                "64bf66686f6c646572626e316565706f636803656e6f6e6365616e686475726174696f6e685054312e32303053ffffffff"
        const val DIGEST =
            "9f66646967657374bf6673656e646572bf646e6f6465626e31657374617274016269706831302e302e302e31687065657250" +
                "6f7274191b586763616c6c6572736b31302e302e302e313a3830647a6f6e656161ff6a6c6561736545706f63680368736571" +
                "75656e636501667374617465734401020304646c6f616444050607086b747261666669635365656ef56d776174636850726f" +
                "6772657373bf6d434f4e46494755524154494f4ebf676368616e6765640469636f6e6669726d656405ffff6f636f6e74726f" +
                "6c6c65724c65617365bf6776657273696f6e07667265636f7264bf66686f6c646572626e316565706f636803656e6f6e6365" +
                "616e686475726174696f6e685054312e32303053ffffffff"
    }
}
