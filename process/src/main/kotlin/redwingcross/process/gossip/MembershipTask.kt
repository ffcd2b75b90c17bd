package redwingcross.process.gossip

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import redwingcross.connection.peer.RequestPeer
import redwingcross.process.membership.Availability
import redwingcross.process.membership.GatewaySet
import redwingcross.process.membership.Member
import redwingcross.process.membership.MemberCondition
import redwingcross.process.membership.MemberEntry
import redwingcross.process.membership.Membership
import redwingcross.process.membership.MembershipEffect
import redwingcross.process.membership.MembershipMessage
import redwingcross.process.membership.MembershipSettings
import redwingcross.process.membership.MembershipState
import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.TableDigest
import redwingcross.request.Checked
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.eventLine
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Input of the membership task other than requests of peers. */
internal sealed interface TaskInput {
    class ForMembership(val message: MembershipMessage) : TaskInput

    class ForGossip(val message: GossipMessage) : TaskInput

    /** [peer] answered a request sent at [sentAt] with [payload]. */
    class Answered(val peer: ProcessName, val sentAt: Duration, val payload: GossipPayload, val sync: SyncRequest?) :
        TaskInput
}

/** The table comparison that an answer belongs to. */
internal class SyncRequest(val endpoint: Endpoint, val digest: TableDigest)

/** Owns the membership and gossip states and performs their effects. */
class MembershipTask(
    self: Member,
    seeds: List<Endpoint>,
    randomSeed: RandomSeed,
    private val request: RequestPeer,
    private val handlers: PeerHandlers,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val membershipSettings: MembershipSettings = MembershipSettings(sizeOf = GossipCodec.changeSize),
    private val gossipSettings: GossipSettings = GossipSettings(sizes = GossipCodec.sizes),
) {
    private class PeerRequest(val from: ProcessName, val payload: GossipPayload) {
        val answer = CompletableDeferred<GossipPayload?>()
    }

    private val membership = Membership(membershipSettings)
    private val gossip = Gossip(gossipSettings)
    private var memberState: MembershipState = membership.start(self, seeds, randomSeed, clock.now())
    private var gossipState: GossipState = gossip.start(self.name, clock.now())
    private val views = MutableStateFlow(PeerView(memberState, gossipState))

    /** Requests of peers; if this process is overloaded, the oldest ones are dropped without an answer. */
    private val peerRequests =
        Channel<PeerRequest>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST) { it.answer.complete(null) }
    private val inputs = Channel<TaskInput>(QUEUE_CAPACITY)

    /** The newest snapshot of membership and gossip. */
    val view: StateFlow<PeerView> = views.asStateFlow()

    /** Reports that this process confirmed versions with the platform. */
    suspend fun confirmed(stamp: ConfirmationStamp) = enqueue(GossipMessage.Confirmed(stamp))

    /** Reports that this process adopted these versions of the control state. */
    suspend fun adopted(versions: ControlVersions) = enqueue(GossipMessage.Adopted(versions))

    /** Publishes the status of a zone that this process observed; the sequence in [status] is replaced. */
    suspend fun observed(status: ZoneStatus) = enqueue(GossipMessage.Observed(status))

    /** Reports that this process detected a server that turned cold without a restart. */
    suspend fun turnedCold(report: ColdReport) = enqueue(GossipMessage.TurnedCold(report))

    /** Replaces the gateways of which a majority is counted. */
    suspend fun gatewaySetChanged(gateways: Collection<ProcessName>) =
        enqueue(GossipMessage.GatewaySetChanged(GatewaySet.of(gateways)))

    /** Replaces the peer endpoints that are contacted while members are missing. */
    suspend fun seedsChanged(seeds: List<Endpoint>) = enqueue(MembershipMessage.SeedsChanged(seeds))

    /** Announces the availability of this process to the other members. */
    suspend fun announce(availability: Availability) = enqueue(MembershipMessage.Announce(availability))

    /** Announces to the other members that this process is exiting. */
    suspend fun leave() = enqueue(MembershipMessage.Leave)

    private suspend fun enqueue(message: GossipMessage) = inputs.send(TaskInput.ForGossip(message))

    private suspend fun enqueue(message: MembershipMessage) = inputs.send(TaskInput.ForMembership(message))

    /** Returns the answer to a ping or gossip of a peer; null if it is malformed or the task is overloaded. */
    internal suspend fun answerPeer(from: ProcessName, bytes: ByteArray): ByteArray? {
        val payload =
            when (val decoded = GossipCodec.decode(bytes, clock.now())) {
                is Checked.Valid -> decoded.value
                is Checked.Invalid -> {
                    logger.warn { eventLine("gossip_malformed", "peer" to from, "finding" to decoded.findings.first()) }
                    return null
                }
            }
        val message = PeerRequest(from, payload)
        peerRequests.send(message)
        return message.answer.await()?.let { GossipCodec.encode(it, clock.now()) }
    }

    /** Runs until cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() = coroutineScope {
        val requests = GossipRequests(this, request, clock, inputs, { memberState.self }, membershipSettings)
        var nextTick = clock.now()
        while (true) {
            val now = clock.now()
            if (now >= nextTick) {
                nextTick = now + TICK_INTERVAL
                step(MembershipMessage.Tick, requests)
                step(GossipMessage.Tick, requests)
            }
            views.value = PeerView(memberState, gossipState)
            select {
                inputs.onReceive { handle(it, requests) }
                peerRequests.onReceive { it.answer.complete(answer(it, requests)) }
                onTimeout((nextTick - clock.now()).coerceAtLeast(Duration.ZERO)) {}
            }
        }
    }

    private fun handle(input: TaskInput, requests: GossipRequests) {
        when (input) {
            is TaskInput.ForMembership -> step(input.message, requests)
            is TaskInput.ForGossip -> step(input.message, requests)
            is TaskInput.Answered -> answered(input, requests)
        }
    }

    private fun answered(input: TaskInput.Answered, requests: GossipRequests) {
        step(MembershipMessage.Contacted(input.peer), requests)
        step(GossipMessage.Contacted(input.peer, input.sentAt), requests)
        when (val payload = input.payload) {
            is GossipPayload.Introduction -> {
                step(MembershipMessage.AckReceived(payload.sender, payload.changes), requests)
                step(GossipMessage.Contacted(payload.sender.name, input.sentAt), requests)
            }
            is GossipPayload.Answer -> {
                step(MembershipMessage.ChangesReceived(payload.answer.changes), requests)
                step(GossipMessage.AnswerReceived(input.peer, payload.answer, input.sentAt), requests)
            }
            is GossipPayload.Zones -> step(GossipMessage.ZonesReceived(payload.zones, input.sentAt), requests)
            is GossipPayload.Table ->
                input.sync?.let {
                    val message =
                        MembershipMessage.SyncAnswered(it.endpoint, it.digest, payload.digest, payload.changes)
                    step(message, requests)
                }
            else -> logger.warn { eventLine("gossip_unexpected_answer", "peer" to input.peer) }
        }
    }

    private fun answer(message: PeerRequest, requests: GossipRequests): GossipPayload? =
        when (val payload = message.payload) {
            is GossipPayload.Introduction ->
                step(MembershipMessage.PingReceived(payload.sender, payload.changes), requests)
            is GossipPayload.Sync -> step(MembershipMessage.SyncReceived(payload.sender, payload.digest), requests)
            is GossipPayload.Digest -> {
                step(MembershipMessage.ChangesReceived(payload.digest.changes), requests)
                step(GossipMessage.DigestReceived(message.from, payload.digest, memberState.present().size), requests)
            }
            is GossipPayload.ZonesRequest -> step(GossipMessage.ZonesRequested(payload.keys), requests)
            else -> null
        }

    /** Performs one membership step and its effects; returns the answer to the peer, if there is one. */
    private fun step(message: MembershipMessage, requests: GossipRequests): GossipPayload? {
        val (state, effects) = membership.step(memberState, message, clock.now())
        memberState = state
        var answer: GossipPayload? = null
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.Ping -> requests.ping(effect.target, effect.changes)
                is MembershipEffect.PingIndirectly -> requests.pingIndirectly(effect.via, effect.target)
                is MembershipEffect.Sync -> requests.sync(effect.endpoint, effect.digest)
                is MembershipEffect.SendChanges -> requests.sendChanges(effect.endpoint, effect.changes)
                is MembershipEffect.Acknowledge -> answer = GossipPayload.Introduction(memberState.self, effect.changes)
                is MembershipEffect.AnswerSync -> answer = GossipPayload.Table(effect.digest, effect.changes)
                is MembershipEffect.Changed -> logChange(effect.entry)
                is MembershipEffect.Replaced -> handlers.replaced(effect.successor)
            }
        }
        return answer
    }

    /** Performs one gossip step and its effects; returns the answer to the peer, if there is one. */
    private fun step(message: GossipMessage, requests: GossipRequests): GossipPayload? {
        val (state, effects) = gossip.step(gossipState, message, clock.now())
        gossipState = state
        var answer: GossipPayload? = null
        for (effect in effects) {
            when (effect) {
                GossipEffect.StartRound -> startRound(requests)
                is GossipEffect.Answer -> answer = GossipPayload.Answer(withChanges(effect.answer, message))
                is GossipEffect.AnswerZones -> answer = GossipPayload.Zones(effect.zones)
                is GossipEffect.FetchControl ->
                    memberState.endpointOf(effect.from)?.let { requests.fetchControl(it, handlers.adoptControl) }
                is GossipEffect.FetchZones -> memberState.endpointOf(effect.from)?.let {
                    requests.fetchZones(it, effect.keys)
                }
                is GossipEffect.StampReceived -> handlers.stampReceived(effect.from, effect.stamp, clock.now())
                is GossipEffect.ZoneReceived -> handlers.zoneReceived(effect.status, clock.now() - effect.age)
                is GossipEffect.ColdReceived -> handlers.coldReceived(effect.report)
            }
        }
        return answer
    }

    private fun startRound(requests: GossipRequests) {
        val (state, peers) = membership.pickPeer(memberState)
        memberState = state
        val peer = peers.firstOrNull() ?: return
        val now = clock.now()
        val (taken, changes) = membership.takeChanges(memberState, peer.name, gossipSettings.changeBytes, now)
        memberState = taken
        val (next, digests) =
            gossip.digest(gossipState, changes, memberState.present().size, memberState.randomSeed, now)
        gossipState = next
        requests.gossip(peer, digests.first())
    }

    private fun withChanges(answer: GossipAnswer, message: GossipMessage): GossipAnswer {
        if (message !is GossipMessage.DigestReceived) return answer
        val (state, changes) =
            membership.takeChanges(memberState, message.from, gossipSettings.changeBytes, clock.now())
        memberState = state
        return answer.copy(changes = changes)
    }

    private companion object {
        const val QUEUE_CAPACITY = 256
        val TICK_INTERVAL = 100.milliseconds
    }
}

private val logger = KotlinLogging.logger {}

private fun logChange(entry: MemberEntry) {
    val member = entry.member
    val line = {
        "event=member_${entry.condition.name.lowercase()} member=${member.name} peer=${member.peer.value} " +
            "incarnation=${member.incarnation.value} availability=${member.availability.name.lowercase()}"
    }
    if (entry.condition == MemberCondition.SUSPECT) logger.debug(line) else logger.info(line)
}
