package redwingcross.process.gossip

import redwingcross.process.membership.log2
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** The gossip state during one step: what is adopted and what is asked for. */
internal class GossipTable(private val settings: GossipSettings, var state: GossipState, private val now: Duration) {
    val effects = mutableListOf<GossipEffect>()

    fun fetchControl(from: ProcessName, versions: ControlVersions) {
        if (!versions.isAheadOf(state.versions) || !startFetch(Fetch.Control)) return
        effects += GossipEffect.FetchControl(from)
    }

    fun fetchZones(from: ProcessName, heartbeats: List<ZoneHeartbeat>) {
        heartbeats.forEach(::raiseFloor)
        val keys =
            heartbeats
                .filter { it.key.observer != state.self }
                .filter { it.contentSequence > (state.zones[it.key]?.heartbeat?.sequence ?: 0) }
                .map { it.key }
                .filter { startFetch(Fetch.Zone(it)) }
        if (keys.isNotEmpty()) effects += GossipEffect.FetchZones(from, keys)
    }

    /**
     * A process that replaced another under its name starts with low sequences, which nobody would adopt. It goes on
     * above the highest sequence that it hears of.
     */
    private fun raiseFloor(heartbeat: ZoneHeartbeat) {
        val key = heartbeat.key
        if (key.observer != state.self || heartbeat.sequence <= (state.floors[key] ?: 0)) return
        state = state.copy(floors = state.floors + (key to heartbeat.sequence))
    }

    private fun startFetch(fetch: Fetch): Boolean {
        if (state.fetching[fetch]?.let { it > now } == true) return false
        state = state.copy(fetching = state.fetching + (fetch to now + settings.fetchTimeout))
        return true
    }

    fun learnStamp(stamp: ConfirmationStamp, at: Duration, from: ProcessName = state.self) {
        val held = state.stamp
        val merged = held?.merge(stamp.heldAt(at)) ?: stamp.heldAt(at)
        if (merged == held) return
        state = state.copy(stamp = merged)
        // A process that hears its own stamps would confirm its view by itself, and do so without end.
        if (from != state.self) effects += GossipEffect.StampReceived(from, merged.at(now))
    }

    /** False if the content is needed and was not sent. */
    fun learnZone(news: ZoneUpdate, sentAt: Duration): Boolean {
        val key = news.heartbeat.key
        val held = state.zones[key]
        val bornAt = sentAt - news.age
        val isOld = held != null && news.heartbeat.sequence <= held.heartbeat.sequence
        if (isOld || now - bornAt >= settings.zoneLifetime) return true
        if (key.observer == state.self) return false
        val groups = news.groups
        val isHeld = held != null && held.heartbeat.contentSequence == news.heartbeat.contentSequence
        when {
            groups != null -> hold(HeldZone(news.heartbeat, bornAt, groups, now))
            isHeld -> hold(held.copy(heartbeat = news.heartbeat, bornAt = bornAt))
            else -> return false
        }
        return true
    }

    fun hold(zone: HeldZone) {
        val key = zone.heartbeat.key
        if (key !in state.zones && state.zones.size >= settings.maximumZones) return
        state = state.copy(zones = state.zones + (key to zone), fetching = state.fetching - Fetch.Zone(key))
        effects += GossipEffect.ZoneReceived(zone.statusAt(now), now - zone.bornAt)
    }

    fun learnCold(report: ColdReport, bornAt: Duration, isOwn: Boolean) {
        val isKnown = report in state.cold || now - bornAt >= settings.coldLifetime
        if (isKnown || state.cold.size >= settings.maximumCold) return
        state = state.copy(cold = state.cold + (report to HeldCold(bornAt, 0)))
        if (!isOwn) effects += GossipEffect.ColdReceived(report)
    }

    fun takeCold(members: Int): List<ColdUpdate> {
        val limit = settings.retransmitFactor * log2(members + 1)
        val taken =
            state.cold.entries
                .filter { it.value.sends < limit }
                .sortedBy { it.value.sends }
                .map { ColdUpdate(it.key, now - it.value.bornAt) }
                .fitting(settings.coldBytes, settings.sizes.cold)
        val sent = taken.associate { news ->
            val held = state.cold.getValue(news.report)
            news.report to held.copy(sends = held.sends + 1)
        }
        if (sent.isNotEmpty()) state = state.copy(cold = state.cold + sent)
        return taken
    }
}

/** The first items whose encoded sizes together stay within [bytes]. */
internal fun <T> List<T>.fitting(bytes: Int, size: (T) -> Int): List<T> {
    var left = bytes
    return filter { item ->
        val needed = size(item)
        (needed <= left).also { fits -> if (fits) left -= needed }
    }
}
