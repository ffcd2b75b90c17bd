package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.GatewayPlace
import redwingcross.version.fleet.NewsSource
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseVersion
import redwingcross.version.lease.SeenLease
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the peers' task hears. */
sealed interface PeerTaskMessage {
    /** Time for the next beat. */
    data object Tick : PeerTaskMessage

    /** This process's own state has changed in a way that all others must hear at once. */
    data object Changed : PeerTaskMessage

    data class Received(val bytes: ByteArray) : PeerTaskMessage

    data class Registry(val result: RegistryResult) : PeerTaskMessage
}

/** What the peers' task needs from the rest of the process. */
class PeerLinks(
    val send: (InetSocketAddress, ByteArray) -> Unit,
    /** This process's next beat, without its sequence number. */
    val beat: () -> Beat,
    val register: () -> Unit,
    /** Reads the registry; the argument tells whether the list may be some seconds old. */
    val listRegistry: (Boolean) -> Unit,
    val onLoad: (ProcessName, Map<BackendServer, Int>?) -> Unit,
    val onTraffic: () -> Unit,
    /** How far another process has followed the store. */
    val onFollowed: (Map<NewsSource, FollowProgress>) -> Unit,
    val onGroups: (GroupAnnouncement) -> Unit,
    val onSuspicion: (GroupId) -> Unit,
    val onLease: (LeaseMessage) -> Unit,
)

/** Owns what this process knows of the others: sends beats, and hands what it hears to the tasks that it concerns. */
class PeerTask(
    private val self: GatewayRecord,
    private val links: PeerLinks,
    private val clock: MonotonicClock,
    private val random: Random,
    private val log: LogEvent,
) {
    private var table = PeerTable(self)
    private var sequence = 0L
    private var isRegistered = false
    private var nextRegistryCall = Duration.ZERO
    private var lastRegistryCall = -Duration.INFINITE
    private var cachedPlace = GatewayPlace(self.node, table.everyone)

    /** This process among all that may be running. */
    val place: GatewayPlace get() = cachedPlace

    /** Every process that may be running. */
    fun known(): List<Peer> = table.peers.values.toList()

    fun alive(): List<Peer> = table.alive(clock.now())

    /** Where callers reach the others that take requests. */
    fun readyCallers(): List<Endpoint> = alive()
        .filter { it.beat?.ready == true && it.beat.leaving == false }
        .map { Endpoint(it.record.callers) }

    fun hearsMajority(): Boolean = table.hearsMajority(clock.now())

    fun handle(message: PeerTaskMessage) {
        when (message) {
            PeerTaskMessage.Tick -> tick()
            PeerTaskMessage.Changed -> sendBeat(toAll = true)
            is PeerTaskMessage.Received -> received(message.bytes)
            is PeerTaskMessage.Registry -> registry(message.result)
        }
    }

    private fun tick() {
        val now = clock.now()
        val before = table
        val silent = table.peers.keys - table.alive(now).map { it.record.node }.toSet()
        silent.forEach { links.onLoad(ProcessName(it), null) }
        table = table.expired(now)
        (before.peers.keys - table.peers.keys).forEach { log("peer_forgotten", arrayOf("node" to it)) }
        val alone = table.alive(now).isEmpty()
        if (now >= nextRegistryCall ||
            (alone && now - lastRegistryCall >= table.silence)
        ) {
            callRegistry(now, alone)
        }
        sendBeat(toAll = false)
        placeChanged(before)
    }

    private fun callRegistry(now: Duration, alone: Boolean) {
        lastRegistryCall = now
        nextRegistryCall = now + REGISTRY_INTERVAL + REGISTRY_SPREAD * random.nextDouble()
        if (isRegistered) {
            links.listRegistry(!alone)
        } else {
            nextRegistryCall = now + table.silence
            links.register()
        }
    }

    private fun registry(result: RegistryResult) {
        when (result) {
            RegistryResult.Registered -> {
                isRegistered = true
                links.listRegistry(false)
            }
            is RegistryResult.Listed -> {
                if (result.isCurrent && result.records.none { it.node == self.node && it.start >= self.start }) {
                    isRegistered = false
                }
                val before = table
                table = table.registered(result.records, clock.now())
                placeChanged(before)
                if (table.peers.keys != before.peers.keys) sendBeat(toAll = true)
            }
            RegistryResult.Failed -> Unit
        }
    }

    private fun placeChanged(before: PeerTable) {
        if (before.peers.keys != table.peers.keys) cachedPlace = GatewayPlace(self.node, table.everyone)
    }

    /** Sends the next beat to the processes whose turn it is, or to all of them. */
    private fun sendBeat(toAll: Boolean) {
        val beat = links.beat().copy(sequence = ++sequence)
        val targets = if (toAll) table.peers.values.map { it.record } else table.targets(sequence)
        val bytes = PeerCodec.encode(beat)
        targets.forEach { links.send(InetSocketAddress(it.ip, it.peerPort), bytes) }
    }

    /** Sends [message] to every process. */
    fun broadcast(message: PeerMessage) {
        val bytes = PeerCodec.encode(message)
        table.peers.values.forEach { links.send(InetSocketAddress(it.record.ip, it.record.peerPort), bytes) }
    }

    /** Sends [message] to the process that holds the duties; false if none is known. */
    fun sendToController(message: PeerMessage): Boolean {
        val holder = table.alive(clock.now())
            .filter { it.beat?.duty != null }
            .maxByOrNull { it.beat?.duty?.record?.epoch?.value ?: 0 }
            ?: return false
        links.send(InetSocketAddress(holder.record.ip, holder.record.peerPort), PeerCodec.encode(message))
        return true
    }

    private fun received(bytes: ByteArray) {
        val message = PeerCodec.decode(bytes)
        if (message == null) {
            log("peer_message_unreadable", arrayOf("bytes" to bytes.size))
            return
        }
        when (message) {
            is Beat -> beat(message)
            is GroupAnnouncement -> links.onGroups(message)
            is GroupSuspicion -> links.onSuspicion(GroupId(message.group))
        }
    }

    private fun beat(beat: Beat) {
        val before = table
        table = table.heard(beat, clock.now())
        if (table === before) return
        val isNew = beat.sender.node !in before.peers
        if (isNew) log("peer_heard", arrayOf("node" to beat.sender.node, "start" to beat.sender.start))
        placeChanged(before)
        links.onLoad(ProcessName(beat.sender.node), beat.load.mapKeys { BackendServer(it.key) })
        if (beat.trafficSeen) links.onTraffic()
        links.onFollowed(beat.followed)
        beat.duty?.let { duty ->
            links.onLease(LeaseMessage.HolderRenewed(SeenLease(LeaseVersion(duty.version), duty.record)))
            links.onLease(LeaseMessage.HolderHeard(duty.record.epoch))
        }
    }

    private companion object {
        /** Two processes that forgot each other while they were cut off meet again through the registry. */
        val REGISTRY_INTERVAL = 15.seconds
        val REGISTRY_SPREAD = 10.seconds
    }
}
