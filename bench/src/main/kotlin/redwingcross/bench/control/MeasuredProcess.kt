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
 * One process whose peers are played by a single gossip state that holds all news. In each second the process makes
 * its own requests, and receives as many as it makes, as it would from peers like itself.
 */
internal class MeasuredProcess(private val size: Int, private val isPlatformUp: Boolean) {
    private val fleet = SyntheticFleet(size)
    private val all = fleet.members()
    private val self = all.first()
    private val membership = Membership(MembershipSettings(sizeOf = GossipCodec.changeSize))
    private val gossip = Gossip(GossipSettings(sizes = GossipCodec.sizes))
    private val threads = ManagementFactory.getThreadMXBean()
    private val gatewaySet = GatewaySet.of(all.map { it.name })

    private var now = 10.seconds
    private var members = membership.start(self, emptyList(), RandomSeed(1), now)
    private var news = gossip.start(self.name, now)
    private var peers = gossip.start(ProcessName("peers"), Duration.ZERO)
    private var sent = 0L
    private var received = 0L
    private var messages = 0L
    private var cpuNanos = 0L
    private var nextPeer = 0

    /** 238 restarts or failures a day for 350 members, with about four changes each. */
    private val changesPerSecond = size * (238.0 * 4 / 350) / 86_400
    private var dueChanges = 0.0

    init {
        val present = all.drop(1).map { MemberChange(it, MemberCondition.ALIVE) }
        val digest = TableDigest(List(TableDigest.PARTS) { 0 })
        val table = MembershipMessage.SyncAnswered(self.peer, digest, digest, present)
        members = membership.step(members, table, now).state
        news = gossip.step(news, GossipMessage.GatewaySetChanged(gatewaySet), now).state
        peers = gossip.step(peers, GossipMessage.GatewaySetChanged(gatewaySet), now).state
    }

    fun reset() {
        sent = 0
        received = 0
        messages = 0
        cpuNanos = 0
    }

    fun traffic(seconds: Int, heap: Long) =
        Traffic(sent / seconds, received / seconds, messages.toDouble() / seconds, cpuNanos / 1e9 / seconds, heap)

    fun run(seconds: Int) = repeat(seconds) {
        refreshPeers()
        dueChanges += changesPerSecond
        repeat(10) {
            now += 100.milliseconds
            tick()
        }
        receivePing()
    }

    private fun refreshPeers() {
        val messages =
            fleet.statuses(now).map { GossipMessage.Observed(it) } + all.map { GossipMessage.Contacted(it.name, now) }
        messages.forEach { peers = gossip.step(peers, it, now).state }
        if (isPlatformUp) {
            val stamp = ConfirmationStamp(BundleVersion(40), OverridesVersion(7), 500.milliseconds)
            peers = gossip.step(peers, GossipMessage.Confirmed(stamp), now).state
            news = gossip.step(news, GossipMessage.Adopted(ControlVersions(stamp.bundle, stamp.overrides)), now).state
            peers = gossip.step(peers, GossipMessage.Adopted(ControlVersions(stamp.bundle, stamp.overrides)), now).state
        }
    }

    private fun tick() {
        val effects =
            cpu {
                val (next, effects) = membership.step(members, MembershipMessage.Tick, now)
                members = next
                effects
            }
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.Ping -> ping(effect)
                is MembershipEffect.Sync -> sync(effect)
                else -> Unit
            }
        }
        val (next, rounds) = cpu { gossip.step(news, GossipMessage.Tick, now) }
        news = next
        if (GossipEffect.StartRound in rounds) {
            exchange()
            receiveDigest()
        }
    }

    private fun ping(effect: MembershipEffect.Ping) {
        request(GossipPayload.Introduction(members.self, effect.changes), isPing = true)
        val answer = receive(GossipPayload.Introduction(effect.target, churn()), isPing = true)
        val ack = MembershipMessage.AckReceived(effect.target, (answer as GossipPayload.Introduction).changes)
        cpu { members = membership.step(members, ack, now).state }
    }

    private fun sync(effect: MembershipEffect.Sync) {
        request(GossipPayload.Sync(members.self, effect.digest))
        val answer = receive(GossipPayload.Table(effect.digest, emptyList())) as GossipPayload.Table
        val message = MembershipMessage.SyncAnswered(effect.endpoint, effect.digest, answer.digest, answer.changes)
        cpu { members = membership.step(members, message, now).state }
    }

    private fun exchange() {
        val digest =
            cpu {
                val (picked, _) = membership.pickPeer(members)
                val (taken, changes) = membership.takeChanges(picked, nextPeer().name, 400, now)
                members = taken
                val (next, digests) = gossip.digest(news, changes, size, RandomSeed(now.inWholeMilliseconds), now)
                news = next
                digests.first()
            }
        request(GossipPayload.Digest(digest))
        val answer = peerAnswer(digest).copy(changes = churn())
        val got = receive(GossipPayload.Answer(answer)) as GossipPayload.Answer
        cpu {
            members = membership.step(members, MembershipMessage.ChangesReceived(got.answer.changes), now).state
            take(GossipMessage.AnswerReceived(nextPeer().name, got.answer, now - 1.milliseconds))
        }
    }

    private fun peerAnswer(digest: GossipDigest): GossipAnswer {
        val (next, effects) = gossip.step(peers, GossipMessage.DigestReceived(self.name, digest, size), now)
        peers = next
        return effects.filterIsInstance<GossipEffect.Answer>().single().answer
    }

    private fun receiveDigest() {
        val digest = gossip.digest(peers, churn(), size, RandomSeed(1), now).effects.first()
        val got = receive(GossipPayload.Digest(digest)) as GossipPayload.Digest
        val answer =
            cpu {
                members = membership.step(members, MembershipMessage.ChangesReceived(got.digest.changes), now).state
                take(GossipMessage.DigestReceived(nextPeer().name, got.digest, size))
            }
        request(GossipPayload.Answer(answer.filterIsInstance<GossipEffect.Answer>().single().answer))
    }

    private fun receivePing() {
        val peer = nextPeer()
        val got = receive(GossipPayload.Introduction(peer, churn()), isPing = true) as GossipPayload.Introduction
        val ack =
            cpu {
                val (next, effects) =
                    membership.step(members, MembershipMessage.PingReceived(got.sender, got.changes), now)
                members = next
                effects.filterIsInstance<MembershipEffect.Acknowledge>().single()
            }
        request(GossipPayload.Introduction(members.self, ack.changes), isPing = true)
    }

    private fun take(message: GossipMessage): List<GossipEffect> {
        val (next, effects) = gossip.step(news, message, now)
        news = next
        effects.filterIsInstance<GossipEffect.FetchZones>().forEach { fetch(it) }
        return effects
    }

    private fun fetch(effect: GossipEffect.FetchZones) {
        request(GossipPayload.ZonesRequest(effect.keys))
        val (_, effects) = gossip.step(peers, GossipMessage.ZonesRequested(effect.keys), now)
        val zones = effects.filterIsInstance<GossipEffect.AnswerZones>().single().zones
        val got = receive(GossipPayload.Zones(zones)) as GossipPayload.Zones
        news = gossip.step(news, GossipMessage.ZonesReceived(got.zones, now), now).state
    }

    /** A change of the fleet, if one is due; further copies of it would be ignored. */
    private fun churn(): List<MemberChange> {
        if (dueChanges < 1) return emptyList()
        dueChanges -= 1
        val member = nextPeer()
        return listOf(MemberChange(member.copy(incarnation = Incarnation(now.inWholeSeconds)), MemberCondition.ALIVE))
    }

    private fun nextPeer(): Member {
        nextPeer = (nextPeer + 1) % size
        return all[if (nextPeer == 0) 1 else nextPeer]
    }

    /** Counts a frame of this process, with the processor time of its encoding. */
    private fun request(payload: GossipPayload, isPing: Boolean = false) {
        val frame = cpu { PeerFrameCodec.encode(frame(self.name, GossipCodec.encode(payload, now), isPing)) }
        sent += frame.size + LENGTH_BYTES
        messages++
    }

    /** Counts a frame to this process, with the processor time of its decoding. */
    private fun receive(payload: GossipPayload, isPing: Boolean = false): GossipPayload {
        val bytes = PeerFrameCodec.encode(frame(nextPeer().name, GossipCodec.encode(payload, now), isPing))
        received += bytes.size + LENGTH_BYTES
        messages++
        return cpu {
            val gossip =
                when (val frame = (PeerFrameCodec.decode(bytes, "bench") as Checked.Valid).value) {
                    is PeerFrame.Ping -> frame.gossip
                    is PeerFrame.Gossip -> frame.gossip
                    else -> error("unexpected $frame")
                }
            (GossipCodec.decode(gossip, now) as Checked.Valid).value
        }
    }

    private fun frame(from: ProcessName, bytes: ByteArray, isPing: Boolean): PeerFrame = if (isPing) {
        PeerFrame.Ping(from, CorrelationId(messages), bytes)
    } else {
        PeerFrame.Gossip(from, CorrelationId(messages), bytes)
    }

    private inline fun <T> cpu(block: () -> T): T {
        val start = threads.currentThreadCpuTime
        return block().also { cpuNanos += threads.currentThreadCpuTime - start }
    }

    private companion object {
        const val LENGTH_BYTES = 4
    }
}
