@file:OptIn(ExperimentalSerializationApi::class)

package redwingcross.process.edge

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import redwingcross.connection.peer.CborStructure
import redwingcross.process.crash.CrashEvidence
import redwingcross.version.bundle.isEndpoint
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.StoredLease
import redwingcross.version.routing.orderHash
import kotlin.time.Duration

/** A process's entry in the platform's registry, which is also the sender of each message to other processes. */
@Serializable
data class GatewayRecord(
    val node: String,
    /** Start of the process in Unix milliseconds; distinguishes two starts of a node. */
    val start: Long,
    val ip: String,
    /** UDP port for messages from other processes. */
    val peerPort: Int,
    /** Endpoint for requests from callers. */
    val callers: String,
    val zone: String,
    /** Processor time a second that the VM has, in cores; 0 if it is not known. */
    val processors: Double = 0.0,
) {
    /** Name of this start of the process. */
    val incarnation: String get() = "$node:$start"

    /** Whether its addresses can be used; creating a socket address from others throws or looks up a host name. */
    val isUsable: Boolean get() = isEndpoint("$ip:$peerPort") && isEndpoint(callers) && processors.isFinite()

    /** The [incarnation] in digests; kept, like [takeoverHash], because it is needed several times a second. */
    internal val digestName: CompactName by lazy(LazyThreadSafetyMode.NONE) { CompactName.of(incarnation) }

    /** Orders the takeover of the controller role among VMs with equal processors. */
    internal val takeoverHash: Long by lazy(LazyThreadSafetyMode.NONE) { orderHash(node) }
}

/** Progress of a process's watch of one kind of objects in the store. */
@Serializable
data class WatchProgress(
    /** Highest revision among the received objects of the kind. */
    val changed: Long,
    /** Revision of the store up to which all changes of the kind were received. */
    val confirmed: Long,
    /** Era of the store that both revisions belong to. */
    val era: StoreEra = StoreEra.FIRST,
) {
    val changedPosition: StorePosition get() = StorePosition(era, StoreRevision(changed))
    val confirmedPosition: StorePosition get() = StorePosition(era, StoreRevision(confirmed))
}

/** Numbers the calls with which a process writes its registry entry, in the order in which they are made. */
@JvmInline
value class RegistrationCall(val number: Long) : Comparable<RegistrationCall> {
    val next: RegistrationCall get() = RegistrationCall(number + 1)

    override fun compareTo(other: RegistrationCall): Int = number.compareTo(other.number)
}

/** Result of a call to the registry. */
sealed interface RegistryResult {
    /**
     * The registry contains the entry of this process. [wasPresent] is true if it did before the call, with the same
     * content.
     */
    data class Registered(val call: RegistrationCall, val wasPresent: Boolean) : RegistryResult

    /** The entries of all registered processes. */
    data class Listed(
        val records: List<GatewayRecord>,
        /** False if the list may be some seconds old. */
        val isCurrent: Boolean,
    ) : RegistryResult

    /** The registry did not answer or rejected the call. */
    data object Failed : RegistryResult
}

/** A message between two processes, encoded as CBOR. Each message fits into one datagram. */
@Serializable
sealed interface PeerMessage {
    /** The registry entry of the process that sent the message. */
    val sender: GatewayRecord
}

/** Heartbeat that each process sends several times a second, with its state and its load. */
@Serializable
@SerialName("beat")
data class Heartbeat(
    override val sender: GatewayRecord,
    /** Orders the heartbeats of one start of the sender. */
    val sequence: Long,
    /** Whether the sender accepts requests from callers. */
    val ready: Boolean,
    /** Whether the sender is about to stop; its address should no longer be given to callers. */
    val leaving: Boolean,
    /** Whether the sender has received a request from a caller, or a heartbeat in which this is true. */
    val trafficSeen: Boolean = false,
    /** Progress of the sender's watches of the store. */
    @SerialName("followed")
    val watchProgress: Map<UpdateSource, WatchProgress> = emptyMap(),
    /** Requests of the sender in flight, by back end. */
    val load: Map<String, Int> = emptyMap(),
    /** The controller lease that the sender holds; null unless it is the active controller. */
    @SerialName("duty")
    val controllerLease: HeldControllerLease? = null,
    /** Requests that wait at the sender by kind, see [DemandCounts]; null if there is nothing to report. */
    @ByteString
    val demand: ByteArray? = null,
    /** What the sender measured of groups since its last heartbeat, see [PaceExchange]; null if nothing. */
    @ByteString
    val health: ByteArray? = null,
    /** The sender's clock, each second while usage is reported. */
    val clock: ProcessClock? = null,
) : PeerMessage

/**
 * State and load of the whole fleet, sent by the active controller of a large fleet to every process. A process that
 * receives digests sends its heartbeats only to the controller and the processes next in line, instead of to all.
 */
@Serializable
@SerialName("digest")
data class FleetDigest(
    override val sender: GatewayRecord,
    /** Epoch of the lease under which the controller sent the digest. */
    val leaseEpoch: Long,
    /** Orders the digests of one epoch. */
    val sequence: Long,
    /** The [PeerState] of each process, by [GatewayRecord.incarnation], as [CompactCounts]. */
    @ByteString
    val states: ByteArray,
    /** Requests of all gateways in flight by back end, as [CompactCounts]. */
    @ByteString
    val load: ByteArray,
    /** Whether any process has received a request from a caller. */
    val trafficSeen: Boolean,
    /** Progress of the sender's watches of the store. */
    val watchProgress: Map<UpdateSource, WatchProgress>,
    val controllerLease: HeldControllerLease?,
    /** Requests that wait at all gateways by kind, see [DemandCounts]; null if there is nothing to report. */
    @ByteString
    val demand: ByteArray? = null,
    /** Age of the oldest heartbeat that [demand] was summed from, in milliseconds. */
    val demandAgeMillis: Long = 0,
    /** Merged pace of the groups that don't need the usual time, by head, in eighths, as [CompactCounts]. */
    @ByteString
    val health: ByteArray? = null,
    /** True time in Unix milliseconds; null unless usage is reported. */
    val fleetMillis: Long? = null,
) : PeerMessage

/** The controller lease that the sender of a heartbeat holds, with the version of its [record] in the store. */
@Serializable
data class HeldControllerLease(
    val version: Long,
    val record: LeaseRecord,
    /** Time since the sender sent its last renewal that took effect. */
    val renewedMillisAgo: Long = 0,
    /** Era of the store that [version] belongs to. */
    val era: StoreEra = StoreEra.FIRST,
) {
    fun toStored(): StoredLease = StoredLease(StorePosition(era, StoreRevision(version)), record)

    companion object {
        fun of(stored: StoredLease, renewedAgo: Duration): HeldControllerLease {
            val (era, revision) = stored.version
            return HeldControllerLease(revision.value, stored.record, renewedAgo.inWholeMilliseconds, era)
        }
    }
}

/**
 * The routes of a service, or changes of them, sent by the active controller to the gateways. The fields correspond to
 * [RouteAnnouncement].
 */
@Serializable
@SerialName("routes")
data class GroupAnnouncement(
    override val sender: GatewayRecord,
    /** Epoch of the lease under which the controller sent the announcement. */
    val leaseEpoch: Long,
    /** Orders the announcements of one epoch. */
    val sequence: Long,
    /** Sequence of the oldest routes that the changes apply to; null if they are the complete routes. */
    val base: Long? = null,
    /** Epoch and sequence of the former controller's announcement that the changes apply to as well. */
    val formerEpoch: Long? = null,
    val formerSequence: Long? = null,
    val service: String,
    /** How long the announcement is valid if no newer one is received. */
    val lifetimeMillis: Long,
    /** New or changed groups. */
    val serving: List<AnnouncedGroup> = emptyList(),
    val removedGroups: List<String> = emptyList(),
    /** New or changed back ends. */
    val servers: List<AnnouncedServer> = emptyList(),
    val removedServers: List<String> = emptyList(),
    /** Groups that have lost a member; their streams have to move to another group. */
    val lost: List<String> = emptyList(),
) : PeerMessage

/** One serving group of a [GroupAnnouncement]. The receiver derives the model from [id]. */
@Serializable
@CborArray
data class AnnouncedGroup(val id: String, val epoch: Long, val head: String)

/** One back end of a [GroupAnnouncement]. */
@Serializable
@CborArray
data class AnnouncedServer(
    val id: String,
    val address: String,
    val zone: String,
    val slots: Int,
    val draining: Boolean,
    /** Time for which the back end stays cold. */
    val coldMillis: Long,
    /** Start of the back end in Unix milliseconds; null if it is not known. */
    val start: Long?,
)

/** Request of a gateway to the active controller for the complete routes of a service. */
@Serializable
@SerialName("routes-request")
data class RoutesRequest(override val sender: GatewayRecord, val service: String) : PeerMessage

/** Report of a gateway to the active controller that streams of a group make no progress. */
@Serializable
@SerialName("suspicion")
data class GroupSuspicion(override val sender: GatewayRecord, val group: String) : PeerMessage

/** What the sender knows of ended engines and the parts of prompts that the requests there had. */
@Serializable
@SerialName("crashes")
data class CrashReports(override val sender: GatewayRecord, val evidence: CrashEvidence) : PeerMessage

/** Encodes and decodes messages between processes. */
object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray<PeerMessage>(message)

    /** The message in [bytes], or null if they contain no valid message of a sender that can be reached. */
    fun decode(bytes: ByteArray): PeerMessage? =
        // The decoder reports invalid bytes with exceptions of many types, also IllegalStateException at their end.
        runCatching { cbor.decodeFromByteArray<PeerMessage>(CborStructure.requireComplete(bytes)) }
            .getOrNull()
            ?.takeIf { it.sender.isUsable }
}
