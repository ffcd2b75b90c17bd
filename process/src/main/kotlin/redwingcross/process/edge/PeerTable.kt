package redwingcross.process.edge

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Another process with its last heartbeat, which is null if the process is known from the registry only. [lastSeenAt]
 * is when the heartbeat or the registry's entry was received, on the process clock.
 */
data class Peer(val record: GatewayRecord, val heartbeat: Heartbeat?, val lastSeenAt: Duration)

/** Heartbeat interval and timeouts of the other processes. */
data class HeartbeatSettings(
    /** Interval between two rounds of heartbeats. */
    val heartbeatInterval: Duration = 250.milliseconds,
    /** Number of processes that get a heartbeat in one round, so that a round's cost doesn't grow with the fleet. */
    val targetsPerRound: Int = 24,
    /** In a small fleet, a process without a heartbeat for this long is no longer listed for callers. */
    val unreachableAfter: Duration = 1.seconds,
    /** A process without a heartbeat for this long is removed; until then it keeps its share of fleet-wide limits. */
    val expireAfter: Duration = 10.seconds,
)

/** One process's view of the other processes of the system, by node name. */
data class PeerTable(
    val self: GatewayRecord,
    val settings: HeartbeatSettings = HeartbeatSettings(),
    val peers: PersistentMap<String, Peer> = persistentHashMapOf(),
) {
    /** Applies a heartbeat. One from an earlier start of the sender, or one that arrives out of order, is ignored. */
    fun received(heartbeat: Heartbeat, now: Duration): PeerTable {
        if (heartbeat.sender.node == self.node) return this
        val known = peers[heartbeat.sender.node]
        val last = known?.heartbeat
        val outdated = last != null &&
            (
                heartbeat.sender.start < last.sender.start ||
                    (heartbeat.sender.start == last.sender.start && heartbeat.sequence <= last.sequence)
                )
        if (outdated) return this
        // Keeps the known record, with the hashes that were computed from it.
        val record = known?.record?.takeIf { it == heartbeat.sender } ?: heartbeat.sender
        return copy(peers = peers.put(record.node, Peer(record, heartbeat, now)))
    }

    /**
     * Adds processes from the registry's list. They are sent heartbeats, and count as part of the fleet for limits that
     * its processes share, until they expire.
     */
    fun registered(records: List<GatewayRecord>, now: Duration): PeerTable {
        val added = records
            .filter { it.node != self.node && (peers[it.node]?.record?.start ?: Long.MIN_VALUE) < it.start }
            .associate { it.node to Peer(it, null, now) }
        return copy(peers = peers.putAll(added))
    }

    /** Applies the states that the active controller reported; a process that it hears counts as heard here. */
    fun digested(states: CompactCounts, now: Duration): PeerTable {
        val next = peers.mutate { changed ->
            for (peer in peers.values) {
                val state = states[peer.record.digestName]?.let(PeerState.entries::getOrNull) ?: continue
                changed[peer.record.node] = peer.withState(state, now)
            }
        }
        return copy(peers = next)
    }

    private fun Peer.withState(state: PeerState, now: Duration): Peer {
        val last = heartbeat ?: Heartbeat(record, 0, ready = false, leaving = false)
        // The process itself may have reported that it leaves before the controller knew.
        val leaving = last.leaving || state == PeerState.LEAVING
        val next = last.copy(ready = state == PeerState.READY, leaving = leaving)
        return if (state == PeerState.SILENT) copy(heartbeat = next) else Peer(record, next, now)
    }

    /** The state of every known process, this one excluded, by incarnation. */
    fun states(now: Duration): Map<String, Int> {
        val alive = alive(now).mapTo(mutableSetOf()) { it.record.node }
        return peers.values.associate { peer ->
            val state = when {
                peer.record.node !in alive -> PeerState.SILENT
                peer.heartbeat?.leaving == true -> PeerState.LEAVING
                peer.heartbeat?.ready == true -> PeerState.READY
                else -> PeerState.RUNNING
            }
            peer.record.incarnation to state.ordinal
        }
    }

    /**
     * Processes that are sent the heartbeat of round [sequence] while digests are received: in each round the lease
     * holder, which reports the load; those next in line for the lease as seldom as without digests.
     */
    fun observers(now: Duration, sequence: Long): List<GatewayRecord> {
        val alive = alive(now)
        val holder = alive.filter { it.heartbeat?.controllerLease != null }.map { it.record }
        return if (roundsPerCycle > 0 &&
            sequence % roundsPerCycle != 0L
        ) {
            holder
        } else {
            (holder + nextInLine(alive)).distinct()
        }
    }

    /** Other processes that are next in line for the lease. */
    fun standbys(now: Duration): List<GatewayRecord> = nextInLine(alive(now))

    private fun nextInLine(alive: List<Peer>): List<GatewayRecord> {
        val next = ArrayList<GatewayRecord>(OBSERVERS + 1)
        for (peer in alive) {
            if (peer.heartbeat?.leaving != false) continue
            val index = next.indexOfFirst { peer.record.takesOverBefore(it) }
            if (index >= 0) next.add(index, peer.record) else next.add(peer.record)
            if (next.size > OBSERVERS) next.removeLast()
        }
        return next
    }

    /** Position of this process, from 0, among the processes that can take over the controller role. */
    fun rank(now: Duration): Int =
        alive(now).count { it.heartbeat?.leaving == false && it.record.takesOverBefore(self) }

    /** Removes processes without a heartbeat for longer than [HeartbeatSettings.expireAfter]. */
    fun expired(now: Duration): PeerTable {
        val expired = peers.filterValues { now - it.lastSeenAt >= settings.expireAfter }.keys
        return if (expired.isEmpty()) this else copy(peers = peers.mutate { it -= expired })
    }

    /** Number of rounds after which every process has been sent a heartbeat. */
    private val roundsPerCycle: Int get() = (peers.size + settings.targetsPerRound - 1) / settings.targetsPerRound

    /**
     * A process without a heartbeat for this long is no longer listed for callers. Long enough that the loss of two
     * heartbeats in a row has no effect.
     */
    val unreachableAfter: Duration
        get() = maxOf(settings.unreachableAfter, settings.heartbeatInterval * roundsPerCycle * MISSED_HEARTBEATS)

    /** Processes that are sent the heartbeat of round [sequence]: round robin, so that all get equally many. */
    fun heartbeatTargets(sequence: Long): List<GatewayRecord> {
        val roundInCycle = if (roundsPerCycle == 0) 0 else (sequence % roundsPerCycle).toInt()
        return peers.values.sortedBy {
            it.record.node
        }.filterIndexed { index, _ -> index % roundsPerCycle == roundInCycle }.map { it.record }
    }

    /** Processes whose last heartbeat is at most [unreachableAfter] old. */
    fun alive(now: Duration): List<Peer> {
        val limit = unreachableAfter
        return peers.values.filter { it.heartbeat != null && now - it.lastSeenAt < limit }
    }

    /** Node names of all processes that may be running, this one included. */
    val allNodes: Set<String> get() = peers.keys + self.node

    /** Whether more than half of the known processes, this one included, are alive. */
    fun isMajorityReachable(now: Duration): Boolean = (alive(now).size + 1) * 2 > peers.size + 1

    private companion object {
        /**
         * VMs with more processor time first, because the controller of a large fleet needs it; among equal ones the
         * hash spreads the first processes over the zones.
         */
        fun GatewayRecord.takesOverBefore(other: GatewayRecord): Boolean =
            if (processors != other.processors) processors > other.processors else takeoverHash < other.takeoverHash

        const val MISSED_HEARTBEATS = 2.5

        /** One more than those that watch the platform's list, because two processes may order them differently. */
        const val OBSERVERS = ServerSourceDecision.STANDBYS + 1
    }
}
