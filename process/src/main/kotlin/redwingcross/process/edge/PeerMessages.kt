package redwingcross.process.edge

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import redwingcross.version.fleet.NewsSource
import redwingcross.version.lease.LeaseRecord

/** What a process tells the platform's registry about itself. */
@Serializable
data class GatewayRecord(
    val node: String,
    /** Unix milliseconds of the start; tells two starts of a node apart. */
    val start: Long,
    val ip: String,
    val peerPort: Int,
    val callers: String,
    val zone: String,
)

/** How far a process has followed one kind of objects in the store. */
@Serializable
data class FollowProgress(
    /** Highest revision of an object of the kind that was seen. */
    val changed: Long,
    /** The store's revision up to which all changes of the kind were seen. */
    val confirmed: Long,
)

/** Results of calls to the registry. */
sealed interface RegistryResult {
    data object Registered : RegistryResult

    data class Listed(
        val records: List<GatewayRecord>,
        /** False if the list may be some seconds old. */
        val isCurrent: Boolean,
    ) : RegistryResult

    data object Failed : RegistryResult
}

/** A message between two processes; each fits into one datagram. */
@Serializable
sealed interface PeerMessage {
    val sender: GatewayRecord
}

/** Sent several times a second: the sender lives, and this is its load. */
@Serializable
@SerialName("beat")
data class Beat(
    override val sender: GatewayRecord,
    val sequence: Long,
    /** Takes requests of callers. */
    val ready: Boolean,
    /** Stops soon; callers should no longer be sent to it. */
    val leaving: Boolean,
    /** Has seen a request of a caller, or heard of one. */
    val trafficSeen: Boolean,
    val followed: Map<NewsSource, FollowProgress>,
    /** Requests of the sender under way, by back end. */
    val load: Map<String, Int>,
    val duty: DutyBeat? = null,
) : PeerMessage

/** The sender of the beat holds the lease of the controller's duties. */
@Serializable
data class DutyBeat(val version: Long, val record: LeaseRecord)

/** The groups that serve, as the holder of the duties knows them. */
@Serializable
@SerialName("groups")
data class GroupAnnouncement(
    override val sender: GatewayRecord,
    val leaseEpoch: Long,
    val sequence: Long,
    val service: String,
    /** How long the announcement stands if no other follows. */
    val lifetimeMillis: Long,
    val serving: List<AnnouncedGroup>,
    /** Groups that have lost a member; their streams have to move. */
    val lost: List<String>,
) : PeerMessage

/** One serving group of a [GroupAnnouncement]; its name tells the model, and the list of back ends the address. */
@Serializable
data class AnnouncedGroup(val id: String, val epoch: Long, val head: String)

/** The sender sees no progress on streams of a group. */
@Serializable
@SerialName("suspicion")
data class GroupSuspicion(override val sender: GatewayRecord, val group: String) : PeerMessage

/** Encodes messages between processes. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray<PeerMessage>(message)

    /** Null if [bytes] are no message. */
    fun decode(bytes: ByteArray): PeerMessage? = try {
        cbor.decodeFromByteArray<PeerMessage>(bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
