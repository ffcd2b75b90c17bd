package redwingcross.bench.control

import redwingcross.connection.peer.CorrelationId
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.PeerFrameCodec
import redwingcross.process.gossip.ControlVersions
import redwingcross.process.gossip.Gossip
import redwingcross.process.gossip.GossipAnswer
import redwingcross.process.gossip.GossipCodec
import redwingcross.process.gossip.GossipDigest
import redwingcross.process.gossip.GossipEffect
import redwingcross.process.gossip.GossipMessage
import redwingcross.process.gossip.GossipPayload
import redwingcross.process.gossip.GossipSettings
import redwingcross.process.membership.GatewaySet
import redwingcross.process.membership.Incarnation
import redwingcross.process.membership.Member
import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.MemberCondition
import redwingcross.process.membership.Membership
import redwingcross.process.membership.MembershipEffect
import redwingcross.process.membership.MembershipMessage
import redwingcross.process.membership.MembershipSettings
import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.TableDigest
import redwingcross.request.Checked
import redwingcross.request.ProcessName
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.OverridesVersion
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One process whose peers are simulated by a single gossip state that contains all updates. In each second the process
 * sends its own requests and receives as many as it sends, as it would from peers of the same kind.
 */
internal class MeasuredProcess(private val size: Int, private val isPlatformUp: Boolean) {
    private val fleet = SyntheticFleet(size)
    private val allMembers = fleet.members()
    private val self = allMembers.first()
    private val membership = Membership(MembershipSettings(sizeOf = GossipCodec.changeSize))
    private val gossip = Gossip(GossipSettings(sizes = GossipCodec.sizes))
    private val threads = ManagementFactory.getThreadMXBean()
    private val gatewaySet = GatewaySet.of(allMembers.map { it.name })

    private var now = 10.seconds
    private var membershipState = membership.start(self, emptyList(), RandomSeed(1), now)
    private var gossipState = gossip.start(self.name, now)
    private var peerState = gossip.start(ProcessName("peers"), Duration.ZERO)
    private var sent = 0L
    private var received = 0L
    private var messages = 0L
    private var cpuNanos = 0L
    private var nextPeer = 0

    /** Rate of 238 restarts or failures a day for 350 members, with about four membership changes each. */
    private val changesPerSecond = size * (238.0 * 4 / 350) / 86_400
    private var dueChanges = 0.0

    init {
        val present = allMembers.drop(1).map { MemberChange(it, MemberCondition.ALIVE) }
        val digest = TableDigest(List(TableDigest.PARTS) { 0 })
        val table = MembershipMessage.SyncAnswered(self.peer, digest, digest, present)
        membershipState = membership.step(membershipState, table, now).state
        gossipState = gossip.step(gossipState, GossipMessage.GatewaySetChanged(gatewaySet), now).state
        peerState = gossip.step(peerState, GossipMessage.GatewaySetChanged(gatewaySet), now).state
    }

    fun reset() {
        sent = 0
        received = 0
        messages = 0
        cpuNanos = 0
    }

    fun trafficPerSecond(seconds: Int, heap: Long) =
        Traffic(sent / seconds, received / seconds, messages.toDouble() / seconds, cpuNanos / 1e9 / seconds, heap)

    fun run(seconds: Int) = repeat(seconds) {
        refreshPeers()
        dueChanges += changesPerSecond
        repeat(10) {
            now += 100.milliseconds
            runTick()
        }
        receivePing()
    }

    private fun refreshPeers() {
        val messages =
            fleet.statuses(now).map { GossipMessage.Observed(it) } +
                allMembers.map { GossipMessage.Contacted(it.name, now) }
        messages.forEach { peerState = gossip.step(peerState, it, now).state }
        if (isPlatformUp) {
            val stamp = ConfirmationStamp(BundleVersion(40), OverridesVersion(7), 500.milliseconds)
            peerState = gossip.step(peerState, GossipMessage.Confirmed(stamp), now).state
            gossipState =
                gossip.step(
                    gossipState,
                    GossipMessage.Adopted(ControlVersions(stamp.bundle, stamp.overrides)),
                    now,
                ).state
            peerState =
                gossip.step(peerState, GossipMessage.Adopted(ControlVersions(stamp.bundle, stamp.overrides)), now).state
        }
    }

    private fun runTick() {
        val effects =
            measureCpu {
                val (next, effects) = membership.step(membershipState, MembershipMessage.Tick, now)
                membershipState = next
                effects
            }
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.Ping -> ping(effect)
                is MembershipEffect.Sync -> sync(effect)
                else -> Unit
            }
        }
        val (next, rounds) = measureCpu { gossip.step(gossipState, GossipMessage.Tick, now) }
        gossipState = next
        if (GossipEffect.StartRound in rounds) {
            sendDigest()
            receiveDigest()
        }
    }

    private fun ping(effect: MembershipEffect.Ping) {
        countSent(GossipPayload.Introduction(membershipState.self, effect.changes), isPing = true)
        val answer = countReceived(GossipPayload.Introduction(effect.target, takeDueChange()), isPing = true)
        val ack = MembershipMessage.AckReceived(effect.target, (answer as GossipPayload.Introduction).changes)
        measureCpu { membershipState = membership.step(membershipState, ack, now).state }
    }

    private fun sync(effect: MembershipEffect.Sync) {
        countSent(GossipPayload.Sync(membershipState.self, effect.digest))
        val answer = countReceived(GossipPayload.Table(effect.digest, emptyList())) as GossipPayload.Table
        val message = MembershipMessage.SyncAnswered(effect.endpoint, effect.digest, answer.digest, answer.changes)
        measureCpu { membershipState = membership.step(membershipState, message, now).state }
    }

    private fun sendDigest() {
        val digest =
            measureCpu {
                val (withPeer, _) = membership.pickPeer(membershipState)
                val (withoutChanges, changes) = membership.takeChanges(withPeer, nextPeer().name, 400, now)
                membershipState = withoutChanges
                val (next, digests) =
                    gossip.digest(gossipState, changes, size, RandomSeed(now.inWholeMilliseconds), now)
                gossipState = next
                digests.first()
            }
        countSent(GossipPayload.Digest(digest))
        val answer = peerAnswer(digest).copy(changes = takeDueChange())
        val payload = countReceived(GossipPayload.Answer(answer)) as GossipPayload.Answer
        measureCpu {
            membershipState =
                membership.step(membershipState, MembershipMessage.ChangesReceived(payload.answer.changes), now).state
            stepGossip(GossipMessage.AnswerReceived(nextPeer().name, payload.answer, now - 1.milliseconds))
        }
    }

    private fun peerAnswer(digest: GossipDigest): GossipAnswer {
        val (next, effects) = gossip.step(peerState, GossipMessage.DigestReceived(self.name, digest, size), now)
        peerState = next
        return effects.filterIsInstance<GossipEffect.Answer>().single().answer
    }

    private fun receiveDigest() {
        val digest = gossip.digest(peerState, takeDueChange(), size, RandomSeed(1), now).effects.first()
        val payload = countReceived(GossipPayload.Digest(digest)) as GossipPayload.Digest
        val answer =
            measureCpu {
                membershipState =
                    membership.step(
                        membershipState,
                        MembershipMessage.ChangesReceived(payload.digest.changes),
                        now,
                    ).state
                stepGossip(GossipMessage.DigestReceived(nextPeer().name, payload.digest, size))
            }
        countSent(GossipPayload.Answer(answer.filterIsInstance<GossipEffect.Answer>().single().answer))
    }

    private fun receivePing() {
        val peer = nextPeer()
        val payload =
            countReceived(
                GossipPayload.Introduction(peer, takeDueChange()),
                isPing = true,
            ) as GossipPayload.Introduction
        val ack =
            measureCpu {
                val (next, effects) =
                    membership.step(
                        membershipState,
                        MembershipMessage.PingReceived(payload.sender, payload.changes),
                        now,
                    )
                membershipState = next
                effects.filterIsInstance<MembershipEffect.Acknowledge>().single()
            }
        countSent(GossipPayload.Introduction(membershipState.self, ack.changes), isPing = true)
    }

    private fun stepGossip(message: GossipMessage): List<GossipEffect> {
        val (next, effects) = gossip.step(gossipState, message, now)
        gossipState = next
        effects.filterIsInstance<GossipEffect.FetchZones>().forEach { fetch(it) }
        return effects
    }

    private fun fetch(effect: GossipEffect.FetchZones) {
        countSent(GossipPayload.ZonesRequest(effect.keys))
        val (_, effects) = gossip.step(peerState, GossipMessage.ZonesRequested(effect.keys), now)
        val zones = effects.filterIsInstance<GossipEffect.AnswerZones>().single().zones
        val payload = countReceived(GossipPayload.Zones(zones)) as GossipPayload.Zones
        gossipState = gossip.step(gossipState, GossipMessage.ZonesReceived(payload.zones, now), now).state
    }

    /** The membership change that is due, if any. It is sent once, since the process would ignore further copies. */
    private fun takeDueChange(): List<MemberChange> {
        if (dueChanges < 1) return emptyList()
        dueChanges -= 1
        val member = nextPeer()
        return listOf(MemberChange(member.copy(incarnation = Incarnation(now.inWholeSeconds)), MemberCondition.ALIVE))
    }

    private fun nextPeer(): Member {
        nextPeer = (nextPeer + 1) % size
        return allMembers[if (nextPeer == 0) 1 else nextPeer]
    }

    /** Counts a frame sent by this process, and the processor time of its encoding. */
    private fun countSent(payload: GossipPayload, isPing: Boolean = false) {
        val frame = measureCpu { PeerFrameCodec.encode(frame(self.name, GossipCodec.encode(payload, now), isPing)) }
        sent += frame.size + LENGTH_BYTES
        messages++
    }

    /** Counts a frame received by this process, and the processor time of its decoding. */
    private fun countReceived(payload: GossipPayload, isPing: Boolean = false): GossipPayload {
        val bytes = PeerFrameCodec.encode(frame(nextPeer().name, GossipCodec.encode(payload, now), isPing))
        received += bytes.size + LENGTH_BYTES
        messages++
        return measureCpu {
            val gossip =
                when (val frame = (PeerFrameCodec.decode(bytes, "bench") as Checked.Valid).value) {
                    is PeerFrame.Ping -> frame.gossip
                    is PeerFrame.Gossip -> frame.gossip
                    else -> error("expected a ping or gossip frame, got $frame")
                }
            (GossipCodec.decode(gossip, now) as Checked.Valid).value
        }
    }

    private fun frame(from: ProcessName, bytes: ByteArray, isPing: Boolean): PeerFrame = if (isPing) {
        PeerFrame.Ping(from, CorrelationId(messages), bytes)
    } else {
        PeerFrame.Gossip(from, CorrelationId(messages), bytes)
    }

    private inline fun <T> measureCpu(block: () -> T): T {
        val start = threads.currentThreadCpuTime
        return block().also { cpuNanos += threads.currentThreadCpuTime - start }
    }

    private companion object {
        /** Length of the prefix that states the size of a frame. */
        const val LENGTH_BYTES = 4
    }
}
