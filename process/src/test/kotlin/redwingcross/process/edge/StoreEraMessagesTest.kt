package redwingcross.process.edge

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import redwingcross.request.ProcessName
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.StoredLease
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against processes that misread the positions of others of an earlier version, or are misread by them. */
class StoreEraMessagesTest {
    private val lease = LeaseRecord(ProcessName("n1"), LeaseEpoch(3), "n", 1.2.seconds)
    private val restored = StorePosition(StoreEra(2), StoreRevision(7))

    @OptIn(ExperimentalStdlibApi::class)
    @Test
    fun `a message of an earlier version is in the first era`() {
        val heartbeat = assertIs<Heartbeat>(PeerCodec.decode(UsageMessagesTest.HEARTBEAT.hexToByteArray()))
        assertEquals(mapOf(UpdateSource.CONFIGURATION to WatchProgress(4, 5)), heartbeat.watchProgress)
        assertEquals(StorePosition.inFirstEra(7), heartbeat.controllerLease?.toStored()?.version)
        val digest = assertIs<FleetDigest>(PeerCodec.decode(UsageMessagesTest.DIGEST.hexToByteArray()))
        assertEquals(StorePosition.inFirstEra(4), digest.watchProgress.values.single().changedPosition)
        assertEquals(StorePosition.inFirstEra(7), digest.controllerLease?.toStored()?.version)
    }

    @Test
    fun `positions of a later era are the same after encoding`() {
        val sender = GatewayRecord("n1", 1, "10.0.0.1", 7000, "10.0.0.1:80", "a")
        val progress = mapOf(UpdateSource.CONFIGURATION to WatchProgress(4, 5, restored.era))
        val held = HeldControllerLease.of(StoredLease(restored, lease), 0.2.seconds)
        val heartbeat =
            Heartbeat(sender, 1, ready = true, leaving = false, watchProgress = progress, controllerLease = held)
        val decoded = assertIs<Heartbeat>(PeerCodec.decode(PeerCodec.encode(heartbeat)))
        assertEquals(progress, decoded.watchProgress)
        assertEquals(StoredLease(restored, lease), decoded.controllerLease?.toStored())
    }

    /** The fields of the version before the eras. */
    @Serializable
    private data class EarlierProgress(val changed: Long, val confirmed: Long)

    @Serializable
    private data class EarlierLease(val version: Long, val record: LeaseRecord, val renewedMillisAgo: Long = 0)

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `an earlier version reads the revisions of a later era`() {
        val cbor = Cbor { ignoreUnknownKeys = true }
        val progress = cbor.encodeToByteArray(WatchProgress(4, 5, restored.era))
        assertEquals(EarlierProgress(4, 5), cbor.decodeFromByteArray(progress))
        val held = cbor.encodeToByteArray(HeldControllerLease.of(StoredLease(restored, lease), 0.2.seconds))
        assertEquals(EarlierLease(7, lease, 200), cbor.decodeFromByteArray(held))
    }
}
