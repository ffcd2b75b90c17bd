package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.version.routing.stableHash
import java.nio.ByteBuffer
import kotlin.time.Duration

/** State of a process in a [FleetDigest]. */
enum class PeerState {
    /** The controller has received no heartbeat recently. */
    SILENT,

    /** The process runs and accepts no requests from callers. */
    RUNNING,

    /** The process accepts requests from callers. */
    READY,

    /** The process is about to stop. */
    LEAVING,
}

/** The 24 bits of a name's hash that stand for it in [CompactCounts]. */
@JvmInline
value class CompactName(val hash: Int) {
    companion object {
        private const val HASH_MASK = 0xffffff

        fun of(name: String): CompactName = CompactName(stableHash(name).toInt() ushr Byte.SIZE_BITS and HASH_MASK)
    }
}

/**
 * Small numbers by name, encoded in four bytes an entry: 24 bits of the name's hash and the number. A digest of a large
 * fleet has to fit into the bandwidth that a node may use for control. Two names with the same hash share an entry,
 * which holds the larger number.
 */
class CompactCounts private constructor(private val byHash: Map<Int, Int>) {
    /** The number stored for [name]; null if there is none. */
    operator fun get(name: CompactName): Int? = byHash[name.hash]

    fun toBytes(): ByteArray {
        val buffer = ByteBuffer.allocate(byHash.size * Int.SIZE_BYTES)
        byHash.forEach { (hash, count) -> buffer.putInt(hash shl Byte.SIZE_BITS or count) }
        return buffer.array()
    }

    companion object {
        private const val MAXIMUM_COUNT = 0xff

        /** Encodes [counts]; a number above 255 is stored as 255. */
        fun of(counts: Map<String, Int>): CompactCounts {
            val byHash = HashMap<Int, Int>()
            counts.forEach { (name, count) ->
                byHash.merge(CompactName.of(name).hash, count.coerceIn(0, MAXIMUM_COUNT), ::maxOf)
            }
            return CompactCounts(byHash)
        }

        /** Encodes [counts] of names that are hashed already; a number above 255 is stored as 255. */
        fun ofNames(counts: Map<CompactName, Int>): CompactCounts =
            CompactCounts(counts.entries.associate { it.key.hash to it.value.coerceIn(0, MAXIMUM_COUNT) })

        /** Decodes [bytes]; an incomplete entry at the end is ignored. */
        fun of(bytes: ByteArray): CompactCounts {
            val buffer = ByteBuffer.wrap(bytes)
            val byHash = HashMap<Int, Int>()
            while (buffer.remaining() >= Int.SIZE_BYTES) {
                val entry = buffer.getInt()
                byHash[entry ushr Byte.SIZE_BITS] = entry and MAXIMUM_COUNT
            }
            return CompactCounts(byHash)
        }
    }
}

/** The digest of the fleet from the active controller, whose own heartbeat is [own]. */
fun PeerTable.digest(
    own: Heartbeat,
    lease: HeldControllerLease,
    load: Map<BackendServer, Int>,
    sequence: Long,
    now: Duration,
) = FleetDigest(
    sender = self,
    leaseEpoch = lease.record.epoch.value,
    sequence = sequence,
    states = CompactCounts.of(states(now) + (self.incarnation to own.state().ordinal)).toBytes(),
    load = CompactCounts.of(load.mapKeys { it.key.value }).toBytes(),
    trafficSeen = own.trafficSeen,
    watchProgress = own.watchProgress,
    controllerLease = lease,
)

private fun Heartbeat.state() = when {
    leaving -> PeerState.LEAVING
    ready -> PeerState.READY
    else -> PeerState.RUNNING
}

/** Whether the fleet is so large that its state is spread by digests. */
val PeerTable.isLarge: Boolean get() = allNodes.size > ServerSourceDecision.LARGEST_WATCHING_FLEET

/** Heartbeat rounds from one digest to the next. */
val PeerTable.roundsPerDigest: Int
    get() = if (peers.size <= LARGEST_FLEET_WITH_FAST_DIGESTS) ROUNDS_PER_FAST_DIGEST else ROUNDS_PER_DIGEST

/** The load of the groups that a digest reports changes within a second. */
private const val ROUNDS_PER_FAST_DIGEST = 2

/** In a larger fleet the digest is longer, and its rate is lower to stay within the bandwidth for control. */
private const val LARGEST_FLEET_WITH_FAST_DIGESTS = 150
private const val ROUNDS_PER_DIGEST = 4
