package redwingcross.process.gossip

import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.RandomSeed
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Processes one message of [Gossip.step] on a mutable [table]. */
internal class GossipStep(
    private val settings: GossipSettings,
    private val table: GossipTable,
    private val now: Duration,
) {
    private var state by table::state
    private val effects get() = table.effects

    fun handle(message: GossipMessage) {
        when (message) {
            GossipMessage.Tick -> tick()
            is GossipMessage.Confirmed -> confirmed(message.stamp)
            is GossipMessage.Adopted -> state = state.copy(versions = state.versions.max(message.versions))
            is GossipMessage.Observed -> observed(message.status)
            is GossipMessage.TurnedCold -> table.adoptCold(message.report, now, isOwn = true)
            is GossipMessage.GatewaySetChanged ->
                state = state.copy(reachability = state.reachability.withGatewaySet(message.gatewaySet))
            is GossipMessage.Contacted -> contacted(message.from, message.sentAt)
            is GossipMessage.DigestReceived -> digestReceived(message)
            is GossipMessage.AnswerReceived -> answerReceived(message)
            is GossipMessage.ZonesReceived -> message.zones.forEach { table.adoptZone(it, message.sentAt) }
            is GossipMessage.ZonesRequested ->
                effects += GossipEffect.AnswerZones(message.keys.mapNotNull { state.zones[it]?.updateAt(now, true) })
        }
    }

    private fun tick() {
        publishPending()
        if (now < state.nextRound) return
        val isStale = isStampStale()
        state =
            state.copy(
                nextRound = now + if (isStale) settings.fastRoundInterval else settings.roundInterval,
                zones = state.zones.filterValues { now - it.createdAt < settings.zoneLifetime * 2 },
                cold = state.cold.filterValues { now - it.createdAt < settings.coldLifetime },
                fetching = state.fetching.filterValues { it > now },
            )
        effects += GossipEffect.StartRound
    }

    private fun isStampStale(): Boolean = state.stamp?.let { now - it.createdAt >= settings.staleStampAge } ?: true

    private fun confirmed(stamp: ConfirmationStamp) = table.adoptStamp(stamp, now)

    private fun observed(status: ZoneStatus) {
        val key = ZoneKey(status.zone, status.observer)
        state = state.copy(pendingStatuses = state.pendingStatuses + (key to PendingStatus(status, now)))
        publishPending()
    }

    private fun publishPending() {
        if (!state.hasReceivedAnswer && now - state.startedAt < settings.startupDelay) return
        val pendingStatuses = state.pendingStatuses.values
        state = state.copy(pendingStatuses = emptyMap())
        pendingStatuses.forEach { publish(it.status, it.observedAt) }
    }

    private fun publish(status: ZoneStatus, at: Duration) {
        val key = ZoneKey(status.zone, status.observer)
        val known = state.zones[key]
        val last = known?.heartbeat?.sequence ?: 0
        val predecessorSequence = state.predecessorSequences[key] ?: 0
        val sequence = maxOf(last, predecessorSequence) + 1
        val isSame = known != null && predecessorSequence <= last && isSameContent(known, status)
        val contentSequence = if (isSame) known.heartbeat.contentSequence else sequence
        val groups = status.groups.map { it.copy(readyFor = (it.readyFor - READY_MARGIN).coerceAtLeast(Duration.ZERO)) }
        val heartbeat = ZoneHeartbeat(key, sequence, contentSequence, status.holder)
        table.store(
            if (isSame) known.copy(heartbeat = heartbeat, createdAt = at) else ZoneRecord(heartbeat, at, groups, at),
        )
    }

    /**
     * Whether [status] can be published without new content. If a ready time is below the published one, the published
     * one is overstated and must be replaced.
     */
    private fun isSameContent(known: ZoneRecord, status: ZoneStatus): Boolean {
        val published = known.groupsAt(now)
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
        // The order differs in each round, so that every zone is sent at some time even if not all of them fit.
        val heartbeats = randomSeed.shuffle(recentZones()).map { it.heartbeat }
        return GossipDigest(
            versions = state.versions,
            stamp = state.stampAt(now),
            zones = heartbeats.fitting(budget, settings.sizes.heartbeat),
            changes = changes,
            cold = cold,
            wantsReachability = isStampStale(),
        )
    }

    private fun recentZones() = state.zones.values.filter { now - it.createdAt < settings.zoneLifetime }

    private fun digestReceived(message: GossipMessage.DigestReceived) {
        val digest = message.digest
        digest.cold.forEach { table.adoptCold(it.report, now - it.age, isOwn = false) }
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

    private fun isNewer(known: StampRecord, other: ConfirmationStamp?): Boolean =
        other == null || known.merge(other.toRecord(now)) != other.toRecord(now)

    /**
     * Returns the zones that are newer than those of [digest], as far as they fit into [budget] bytes. Content is added
     * to those for which there is room left; the peer fetches the rest.
     */
    private fun zonesFor(digest: GossipDigest, budget: Int): List<ZoneUpdate> {
        val theirs = digest.zones.associateBy { it.key }
        val newer = recentZones().filter { it.heartbeat.sequence > (theirs[it.heartbeat.key]?.sequence ?: 0) }
        val withoutContent = newer.map { it.updateAt(now, withGroups = false) }.fitting(budget, settings.sizes.zone)
        var remaining = budget - withoutContent.sumOf(settings.sizes.zone)
        return withoutContent.map { update ->
            val key = update.heartbeat.key
            if (theirs[key]?.contentSequence == update.heartbeat.contentSequence) return@map update
            val withContent = state.zones.getValue(key).updateAt(now, withGroups = true)
            val growth = settings.sizes.zone(withContent) - settings.sizes.zone(update)
            if (growth > remaining) return@map update
            remaining -= growth
            withContent
        }
    }

    private fun answerReceived(message: GossipMessage.AnswerReceived) {
        val answer = message.answer
        state = state.copy(hasReceivedAnswer = true)
        contacted(message.from, message.sentAt)
        answer.reachability?.let {
            state = state.copy(reachability = state.reachability.merge(it, message.sentAt))
        }
        answer.stamp?.let { table.adoptStamp(it, message.sentAt, message.from) }
        answer.cold.forEach { table.adoptCold(it.report, message.sentAt - it.age, isOwn = false) }
        table.fetchControl(message.from, answer.versions)
        val missing = answer.zones.filterNot { table.adoptZone(it, message.sentAt) }
        table.fetchZones(message.from, missing.map { it.heartbeat })
    }

    private companion object {
        /**
         * Ready times are published reduced by this, so that the engines' reports may vary by it without new content.
         */
        val READY_MARGIN = 1.seconds
    }
}
