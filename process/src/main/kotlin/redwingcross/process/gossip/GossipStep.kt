package redwingcross.process.gossip

import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.MemberChange
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The working copy of one step of [Gossip]. */
internal class GossipStep(
    private val settings: GossipSettings,
    private val table: GossipTable,
    private val now: Duration,
) {
    private var state by table::state
    private val effects get() = table.effects

    fun take(message: GossipMessage) {
        when (message) {
            GossipMessage.Tick -> tick()
            is GossipMessage.Confirmed -> confirmed(message.stamp)
            is GossipMessage.Adopted -> state = state.copy(versions = state.versions.max(message.versions))
            is GossipMessage.Observed -> observed(message.status)
            is GossipMessage.TurnedCold -> table.learnCold(message.report, now, isOwn = true)
            is GossipMessage.GatewaySetChanged ->
                state = state.copy(reachability = state.reachability.withGatewaySet(message.gatewaySet))
            is GossipMessage.Contacted -> contacted(message.from, message.sentAt)
            is GossipMessage.DigestReceived -> digestReceived(message)
            is GossipMessage.AnswerReceived -> answerReceived(message)
            is GossipMessage.ZonesReceived -> message.zones.forEach { table.learnZone(it, message.sentAt) }
            is GossipMessage.ZonesRequested ->
                effects += GossipEffect.AnswerZones(message.keys.mapNotNull { state.zones[it]?.newsAt(now, true) })
        }
    }

    private fun tick() {
        publishWithheld()
        if (now < state.nextRound) return
        val isScarce = isStampScarce()
        state =
            state.copy(
                nextRound = now + if (isScarce) settings.fastRound else settings.round,
                zones = state.zones.filterValues { now - it.bornAt < settings.zoneLifetime * 2 },
                cold = state.cold.filterValues { now - it.bornAt < settings.coldLifetime },
                fetching = state.fetching.filterValues { it > now },
            )
        effects += GossipEffect.StartRound
    }

    private fun isStampScarce(): Boolean = state.stamp?.let { now - it.bornAt >= settings.scarceStamp } ?: true

    private fun confirmed(stamp: ConfirmationStamp) = table.learnStamp(stamp, now)

    private fun observed(status: ZoneStatus) {
        val key = ZoneKey(status.zone, status.observer)
        state = state.copy(withheld = state.withheld + (key to Withheld(status, now)))
        publishWithheld()
    }

    private fun publishWithheld() {
        if (!state.hasHeard && now - state.startedAt < settings.silentStart) return
        val withheld = state.withheld.values
        state = state.copy(withheld = emptyMap())
        withheld.forEach { publish(it.status, it.observedAt) }
    }

    private fun publish(status: ZoneStatus, at: Duration) {
        val key = ZoneKey(status.zone, status.observer)
        val held = state.zones[key]
        val last = held?.heartbeat?.sequence ?: 0
        val floor = state.floors[key] ?: 0
        val sequence = maxOf(last, floor) + 1
        val isSame = held != null && floor <= last && isSameContent(held, status)
        val contentSequence = if (isSame) held.heartbeat.contentSequence else sequence
        val groups = status.groups.map { it.copy(readyFor = (it.readyFor - READY_SLACK).coerceAtLeast(Duration.ZERO)) }
        val heartbeat = ZoneHeartbeat(key, sequence, contentSequence, status.holder)
        table.hold(if (isSame) held.copy(heartbeat = heartbeat, bornAt = at) else HeldZone(heartbeat, at, groups, at))
    }

    /** A ready time that falls behind the one published would make the published one an overstatement. */
    private fun isSameContent(held: HeldZone, status: ZoneStatus): Boolean {
        val published = held.groupsAt(now)
        return published.size == status.groups.size &&
            published.zip(status.groups).all { (old, new) ->
                old.copy(readyFor = new.readyFor) == new && new.readyFor >= old.readyFor
            }
    }

    private fun contacted(from: ProcessName, sentAt: Duration) {
        state = state.copy(reachability = state.reachability.contacted(from, sentAt))
    }

    fun digest(changes: List<MemberChange>, members: Int, randomSeed: RandomSeed): GossipDigest {
        val cold = table.takeCold(members)
        val budget = settings.messageBytes - settings.changeBytes - settings.coldBytes
        // A different order in each round lets every zone have its turn if not all of them fit.
        val heartbeats = randomSeed.shuffle(recentZones()).map { it.heartbeat }
        return GossipDigest(
            versions = state.versions,
            stamp = state.stampAt(now),
            zones = heartbeats.fitting(budget, settings.sizes.heartbeat),
            changes = changes,
            cold = cold,
            wantsReachability = isStampScarce(),
        )
    }

    private fun recentZones() = state.zones.values.filter { now - it.bornAt < settings.zoneLifetime }

    private fun digestReceived(message: GossipMessage.DigestReceived) {
        val digest = message.digest
        digest.cold.forEach { table.learnCold(it.report, now - it.age, isOwn = false) }
        table.fetchControl(message.from, digest.versions)
        table.fetchZones(message.from, digest.zones)
        val reachability =
            if (digest.wantsReachability) state.reachability.ages(state.self, now) else null
        val budget =
            settings.messageBytes - settings.changeBytes - settings.coldBytes - (reachability?.ages?.size ?: 0)
        val answer =
            GossipAnswer(
                versions = state.versions,
                stamp = state.stamp?.takeIf { isNewer(it, digest.stamp) }?.at(now),
                zones = zonesFor(digest, budget),
                cold = table.takeCold(message.members),
                reachability = reachability?.takeIf { budget > 0 },
            )
        effects += GossipEffect.Answer(answer)
    }

    private fun isNewer(held: HeldStamp, other: ConfirmationStamp?): Boolean =
        other == null || held.merge(other.heldAt(now)) != other.heldAt(now)

    /** Newer heartbeats first without, then with content, as far as they fit; the peer fetches the rest. */
    private fun zonesFor(digest: GossipDigest, budget: Int): List<ZoneUpdate> {
        val theirs = digest.zones.associateBy { it.key }
        val newer = recentZones().filter { it.heartbeat.sequence > (theirs[it.heartbeat.key]?.sequence ?: 0) }
        val bare = newer.map { it.newsAt(now, withGroups = false) }.fitting(budget, settings.sizes.zone)
        var left = budget - bare.sumOf(settings.sizes.zone)
        return bare.map { news ->
            val key = news.heartbeat.key
            if (theirs[key]?.contentSequence == news.heartbeat.contentSequence) return@map news
            val full = state.zones.getValue(key).newsAt(now, withGroups = true)
            val growth = settings.sizes.zone(full) - settings.sizes.zone(news)
            if (growth > left) return@map news
            left -= growth
            full
        }
    }

    private fun answerReceived(message: GossipMessage.AnswerReceived) {
        val answer = message.answer
        state = state.copy(hasHeard = true)
        contacted(message.from, message.sentAt)
        answer.reachability?.let {
            state = state.copy(reachability = state.reachability.merge(it, message.sentAt))
        }
        answer.stamp?.let { table.learnStamp(it, message.sentAt, message.from) }
        answer.cold.forEach { table.learnCold(it.report, message.sentAt - it.age, isOwn = false) }
        table.fetchControl(message.from, answer.versions)
        val missing = answer.zones.filterNot { table.learnZone(it, message.sentAt) }
        table.fetchZones(message.from, missing.map { it.heartbeat })
    }

    private companion object {
        /** Lets the engines' reports vary by this much without a change of content. */
        val READY_SLACK = 1.seconds
    }
}
