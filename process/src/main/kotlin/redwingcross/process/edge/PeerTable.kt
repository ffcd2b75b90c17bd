package redwingcross.process.edge

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
    val peers: Map<String, Peer> = emptyMap(),
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
        return copy(peers = peers + (heartbeat.sender.node to Peer(heartbeat.sender, heartbeat, now)))
    }

    /**
     * Adds processes from the registry's list. They are sent heartbeats, and count as part of the fleet for limits that
     * its processes share, until they expire.
     */
    fun registered(records: List<GatewayRecord>, now: Duration): PeerTable {
        val added = records
            .filter { it.node != self.node && (peers[it.node]?.record?.start ?: Long.MIN_VALUE) < it.start }
            .associate { it.node to Peer(it, null, now) }
        return copy(peers = peers + added)
    }

    /** Removes processes without a heartbeat for longer than [HeartbeatSettings.expireAfter]. */
    fun expired(now: Duration): PeerTable {
        val kept = peers.filterValues { now - it.lastSeenAt < settings.expireAfter }
        return if (kept.size == peers.size) this else copy(peers = kept)
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
        const val MISSED_HEARTBEATS = 2.5
    }
}
