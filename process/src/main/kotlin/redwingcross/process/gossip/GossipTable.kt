package redwingcross.process.gossip

import redwingcross.process.membership.log2
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Mutable gossip state of one step; adopts received updates and starts fetches. */
internal class GossipTable(private val settings: GossipSettings, var state: GossipState, private val now: Duration) {
    val effects = mutableListOf<GossipEffect>()

    /** Fetches the control state of [from] if its [versions] are newer and no such fetch is in flight. */
    fun fetchControl(from: ProcessName, versions: ControlVersions) {
        if (!versions.isAheadOf(state.versions) || !startFetch(Fetch.Control)) return
        effects += GossipEffect.FetchControl(from)
    }

    /** Fetches the zones of [heartbeats] whose content is newer, except those that are in flight. */
    fun fetchZones(from: ProcessName, heartbeats: List<ZoneHeartbeat>) {
        heartbeats.forEach(::recordPredecessorSequence)
        val keys =
            heartbeats
                .filter { it.key.observer != state.self }
                .filter { it.contentSequence > (state.zones[it.key]?.heartbeat?.sequence ?: 0) }
                .map { it.key }
                .filter { startFetch(Fetch.Zone(it)) }
        if (keys.isNotEmpty()) effects += GossipEffect.FetchZones(from, keys)
    }

    /**
     * A process that replaced another with the same name starts with low sequences, which no peer would adopt. It
     * continues above the highest sequence that it receives from peers.
     */
    private fun recordPredecessorSequence(heartbeat: ZoneHeartbeat) {
        val key = heartbeat.key
        if (key.observer != state.self || heartbeat.sequence <= (state.predecessorSequences[key] ?: 0)) return
        state = state.copy(predecessorSequences = state.predecessorSequences + (key to heartbeat.sequence))
    }

    private fun startFetch(fetch: Fetch): Boolean {
        if (state.fetching[fetch]?.let { it > now } == true) return false
        state = state.copy(fetching = state.fetching + (fetch to now + settings.fetchTimeout))
        return true
    }

    fun adoptStamp(stamp: ConfirmationStamp, at: Duration, from: ProcessName = state.self) {
        val known = state.stamp
        val merged = known?.merge(stamp.toRecord(at)) ?: stamp.toRecord(at)
        if (merged == known) return
        state = state.copy(stamp = merged)
        // A process must not receive its own stamps, or it would confirm its view by itself, indefinitely.
        if (from != state.self) effects += GossipEffect.StampReceived(from, merged.at(now))
    }

    /** Adopts [update] if it is newer; returns false if its content is needed and was not sent. */
    fun adoptZone(update: ZoneUpdate, sentAt: Duration): Boolean {
        val key = update.heartbeat.key
        val known = state.zones[key]
        val createdAt = sentAt - update.age
        val isOld = known != null && update.heartbeat.sequence <= known.heartbeat.sequence
        if (isOld || now - createdAt >= settings.zoneLifetime) return true
        if (key.observer == state.self) return false
        val groups = update.groups
        val hasContent = known != null && known.heartbeat.contentSequence == update.heartbeat.contentSequence
        when {
            groups != null -> store(ZoneRecord(update.heartbeat, createdAt, groups, now))
            hasContent -> store(known.copy(heartbeat = update.heartbeat, createdAt = createdAt))
            else -> return false
        }
        return true
    }

    /** Stores [zone], unless it is new and the limit is reached. */
    fun store(zone: ZoneRecord) {
        val key = zone.heartbeat.key
        if (key !in state.zones && state.zones.size >= settings.maximumZones) return
        state = state.copy(zones = state.zones + (key to zone), fetching = state.fetching - Fetch.Zone(key))
        effects += GossipEffect.ZoneReceived(zone.statusAt(now), now - zone.createdAt)
    }

    /** Stores [report] if it is new; [isOwn] is true if this process detected the cold server. */
    fun adoptCold(report: ColdReport, createdAt: Duration, isOwn: Boolean) {
        val isKnown = report in state.cold || now - createdAt >= settings.coldLifetime
        if (isKnown || state.cold.size >= settings.maximumCold) return
        state = state.copy(cold = state.cold + (report to ColdRecord(createdAt, 0)))
        if (!isOwn) effects += GossipEffect.ColdReceived(report)
    }

    /** Selects the cold reports for one message, least often sent first, and counts them as sent. */
    fun takeCold(members: Int): List<ColdUpdate> {
        val limit = settings.retransmitFactor * log2(members + 1)
        val taken =
            state.cold.entries
                .filter { it.value.sends < limit }
                .sortedBy { it.value.sends }
                .map { ColdUpdate(it.key, now - it.value.createdAt) }
                .fitting(settings.coldBytes, settings.sizes.cold)
        val sent = taken.associate { update ->
            val known = state.cold.getValue(update.report)
            update.report to known.copy(sends = known.sends + 1)
        }
        if (sent.isNotEmpty()) state = state.copy(cold = state.cold + sent)
        return taken
    }
}

/** Returns the items, in order, that still fit into [bytes] encoded bytes after those taken before them. */
internal fun <T> List<T>.fitting(bytes: Int, size: (T) -> Int): List<T> {
    var remaining = bytes
    return filter { item ->
        val needed = size(item)
        (needed <= remaining).also { fits -> if (fits) remaining -= needed }
    }
}
