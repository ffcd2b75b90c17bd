package redwingcross.process.edge

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Another process with its last beat. */
data class Peer(val record: GatewayRecord, val beat: Beat?, val heardAt: Duration)

/** Times after which a silent process is treated differently. */
data class PeerTimes(
    /** Pause between two rounds of beats. */
    val beatInterval: Duration = 250.milliseconds,
    /** Processes that one round of beats goes to, so that its cost doesn't grow with the fleet. */
    val targets: Int = 24,
    /** In a small fleet, a process silent for this long is no longer named to callers. */
    val silence: Duration = 1.seconds,
    /** A process silent for this long is forgotten; until then it keeps its part of shared bounds. */
    val forget: Duration = 10.seconds,
)

/** The processes of the system as one of them knows them, by node name. */
data class PeerTable(
    val self: GatewayRecord,
    val times: PeerTimes = PeerTimes(),
    val peers: Map<String, Peer> = emptyMap(),
) {
    /** Takes a beat; one of an earlier start, or one that was overtaken, is ignored. */
    fun heard(beat: Beat, now: Duration): PeerTable {
        if (beat.sender.node == self.node) return this
        val known = peers[beat.sender.node]
        val last = known?.beat
        val outdated = last != null &&
            (
                beat.sender.start < last.sender.start ||
                    (beat.sender.start == last.sender.start && beat.sequence <= last.sequence)
                )
        if (outdated) return this
        return copy(peers = peers + (beat.sender.node to Peer(beat.sender, beat, now)))
    }

    /** Takes the registry's list; its processes are tried, and count for shared bounds until they are forgotten. */
    fun registered(records: List<GatewayRecord>, now: Duration): PeerTable {
        val added = records
            .filter { it.node != self.node && (peers[it.node]?.record?.start ?: Long.MIN_VALUE) < it.start }
            .associate { it.node to Peer(it, null, now) }
        return copy(peers = peers + added)
    }

    /** Forgets processes that have been silent for long. */
    fun expired(now: Duration): PeerTable {
        val kept = peers.filterValues { now - it.heardAt < times.forget }
        return if (kept.size == peers.size) this else copy(peers = kept)
    }

    /** Rounds after which every process has been sent a beat. */
    private val rounds: Int get() = (peers.size + times.targets - 1) / times.targets

    /** A process silent for this long is no longer named to callers; two beats in a row may be lost. */
    val silence: Duration get() = maxOf(times.silence, times.beatInterval * rounds * SILENT_BEATS)

    /** Processes that the beat of round [sequence] goes to: all in turn, so that each hears this one equally often. */
    fun targets(sequence: Long): List<GatewayRecord> {
        val turn = if (rounds == 0) 0 else (sequence % rounds).toInt()
        return peers.values.sortedBy {
            it.record.node
        }.filterIndexed { index, _ -> index % rounds == turn }.map { it.record }
    }

    /** Processes that were heard lately. */
    fun alive(now: Duration): List<Peer> {
        val limit = silence
        return peers.values.filter { it.beat != null && now - it.heardAt < limit }
    }

    /** Names of all processes that may be running, this one included. */
    val everyone: Set<String> get() = peers.keys + self.node

    /** Whether this process hears more than half of those that it knows. */
    fun hearsMajority(now: Duration): Boolean = (alive(now).size + 1) * 2 > peers.size + 1

    private companion object {
        const val SILENT_BEATS = 2.5
    }
}
