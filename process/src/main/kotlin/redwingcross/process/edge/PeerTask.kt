package redwingcross.process.edge

import redwingcross.process.crash.CrashEvidence
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.GatewayShare
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.lease.LeaseMessage
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Message to [PeerTask]. */
sealed interface PeerTaskMessage {
    /** Timer tick: the next heartbeat is due. */
    data object Tick : PeerTaskMessage

    /** The state of this process has changed and is sent to all other processes at once. */
    data object StateChanged : PeerTaskMessage

    /** A datagram was received from another process. */
    data class Received(val bytes: ByteArray) : PeerTaskMessage

    /** A call to the registry has completed. */
    data class RegistryCallCompleted(val result: RegistryResult) : PeerTaskMessage

    /** The store has come back from an older copy of its data, which may lack the registry entry of this process. */
    data object StoreRestored : PeerTaskMessage
}

/** Callbacks through which [PeerTask] sends messages and passes received state to the other tasks. */
@Suppress("LongParameterList")
class PeerDependencies(
    val send: (InetSocketAddress, ByteArray) -> Unit,
    /** Builds this process's next heartbeat; its sequence number is filled in by [PeerTask]. */
    val nextHeartbeat: () -> Heartbeat,
    /** Writes the registry entry of this process; [RegistryResult.Registered] contains the number of the call. */
    val register: (RegistrationCall) -> Unit,
    /** Reads the registry; the argument is true if the list may be some seconds old. */
    val listRegistry: (Boolean) -> Unit,
    /** Called with the requests in flight of another gateway by back end; null if it is no longer reachable. */
    val onLoad: (ProcessName, Map<BackendServer, Int>?) -> Unit,
    /** Called with the requests of all gateways in flight by back end; null once digests are no longer received. */
    val onFleetLoad: (CompactCounts?) -> Unit,
    /** Requests of all gateways in flight by back end, as far as this process knows. */
    val fleetLoad: () -> Map<BackendServer, Int>,
    /** Called when another process reports that a request from a caller was received. */
    val onTrafficSeen: () -> Unit,
    /** Called with the progress of another process's watches of the store. */
    val onWatchProgress: (Map<UpdateSource, WatchProgress>) -> Unit,
    val onGroupAnnouncement: (GroupAnnouncement) -> Unit,
    /** Called when a gateway has missed changes of the routes of a service. */
    val onRoutesRequest: (RoutesRequest) -> Unit,
    /** Called with this process's position in the order in which processes take over the controller lease. */
    val onRank: (Int) -> Unit,
    /** Called when a gateway reports that streams of a group make no progress. */
    val onSuspicion: (GroupId) -> Unit,
    /** Called when a heartbeat contains the controller lease. */
    val onLease: (LeaseMessage) -> Unit,
    /** What this process knows of ended engines; a process that starts receives it from the active controller. */
    val crashEvidence: () -> CrashEvidence,
    val onCrashEvidence: (CrashEvidence) -> Unit,
    /** Exchanges the demand with the other processes; null if admission isn't shared. */
    val demand: DemandExchange? = null,
    /** Called with what a gateway measured of groups. */
    val onHealth: (ProcessName, ByteArray) -> Unit = { _, _ -> },
    /** Called with the merged pace of groups; null once digests are no longer received. */
    val onFleetHealth: (CompactCounts?) -> Unit = {},
    /** The merged pace of groups for a digest; null if there is nothing to report. */
    val fleetHealth: () -> ByteArray? = { null },
    /** Called when a gateway reports that its streams at a group are silent or progress again. */
    val onStallEvidence: (StallEvidence) -> Unit = {},
    /** Called when the active controller announces the groups that make no progress. */
    val onStalledGroups: (StalledGroups) -> Unit = {},
    val onPlaceMessage: (PlaceMessage) -> Unit = {},
    val usage: UsageReception = UsageReception.none,
)

/** Owns this process's view of the other processes: sends heartbeats and passes received messages to other tasks. */
class PeerTask(
    private val self: GatewayRecord,
    private val dependencies: PeerDependencies,
    private val clock: MonotonicClock,
    private val random: Random,
    private val log: LogEvent,
) {
    private var table = PeerTable(self)
    private var sequence = 0L
    private val registry = RegistryCalls(self, dependencies.register, dependencies.listRegistry, random)
    private var lastDigest: FleetDigest? = null
    private var lastDigestAt = -Duration.INFINITE
    private var digestsSent = 0L
    private var cachedGatewayShare = GatewayShare(self.node, table.allNodes)

    /** This process's share of the limits that all processes that may be running divide among themselves. */
    val gatewayShare: GatewayShare get() = cachedGatewayShare

    /** All other processes that may be running, including those that currently send no heartbeats. */
    val knownPeers: List<Peer> get() = table.peers.values.toList()

    /** The [knownPeers] by node name. */
    val peersByNode: Map<String, Peer> get() = table.peers

    /**
     * Position of this process, from 0, in the order in which processes take over the controller lease, see
     * [PeerTable.rank].
     */
    var rank = 0
        private set

    /** Whether the registry was read since the start of this process. */
    val isRegistryRead: Boolean get() = registry.isRead

    /** The active controller of the newest lease epoch among the processes heard recently; null if none is known. */
    fun activeController(): GatewayRecord? = table.alive(clock.now())
        .filter { it.heartbeat?.controllerLease != null }
        .maxByOrNull { it.heartbeat?.controllerLease?.record?.epoch?.value ?: 0 }
        ?.record

    /** Other processes that are next in line for the controller role, the first one first. */
    val standbys: List<GatewayRecord> get() = table.standbys(clock.now())

    /** Other processes that sent a heartbeat recently. */
    fun alivePeers(): List<Peer> = table.alive(clock.now())

    /** Endpoints for callers of the other processes that accept requests. */
    fun readyCallerEndpoints(): List<Endpoint> = alivePeers()
        .filter { it.heartbeat?.ready == true && it.heartbeat.leaving == false }
        .map { Endpoint(it.record.callers) }

    /** Whether more than half of the known processes, this one included, are alive. */
    val isMajorityReachable: Boolean get() = table.isMajorityReachable(clock.now())

    /** Processes one message; called on the event loop only. */
    fun handle(message: PeerTaskMessage) {
        when (message) {
            PeerTaskMessage.Tick -> tick()
            PeerTaskMessage.StateChanged -> sendHeartbeat(toAll = true)
            is PeerTaskMessage.Received -> received(message.bytes)
            is PeerTaskMessage.RegistryCallCompleted -> registryCallCompleted(message.result)
            PeerTaskMessage.StoreRestored -> registry.storeRestored(clock.now())
        }
    }

    private fun tick() {
        val now = clock.now()
        val before = table
        val unreachable = table.peers.keys - table.alive(now).map { it.record.node }.toSet()
        unreachable.forEach { dependencies.onLoad(ProcessName(it), null) }
        table = table.expired(now)
        (before.peers.keys - table.peers.keys).forEach { log("peer_forgotten", arrayOf("node" to it)) }
        registry.callIfDue(now, isAlone = table.alive(now).isEmpty(), retryAfter = table.unreachableAfter)
        if (lastDigest != null && now - lastDigestAt >= DIGEST_TIMEOUT) {
            lastDigest = null
            dependencies.onFleetLoad(null)
            dependencies.onFleetHealth(null)
        }
        dependencies.demand?.tick(hasDigests = table.isLarge)
        sendHeartbeat(toAll = false)
        updateGatewayShare(before)
        updateRank(now)
    }

    /** Whether the controller hears this process and reports its state to the others. */
    private val isReported get() = lastDigest != null && table.isLarge && rank >= ServerSourceDecision.STANDBYS

    private fun digestReceived(digest: FleetDigest) {
        val last = lastDigest
        val outdated = last != null &&
            (
                digest.leaseEpoch < last.leaseEpoch ||
                    digest.leaseEpoch == last.leaseEpoch &&
                    digest.sequence <= last.sequence
                )
        if (outdated) return
        val before = table
        val now = clock.now()
        val isFirst = last == null
        lastDigest = digest
        lastDigestAt = now
        val heartbeat = Heartbeat(
            digest.sender,
            before.peers[digest.sender.node]?.heartbeat?.sequence ?: 0,
            ready = true,
            leaving = false,
            controllerLease = digest.controllerLease,
        )
        table = table.copy(peers = table.peers.put(digest.sender.node, Peer(digest.sender, heartbeat, now)))
            .digested(CompactCounts.of(digest.states), now)
        if (digest.sender.node !in before.peers) updateGatewayShare(before)
        if (mayTell) missedCrashes.tellIfSilent(digest.sender, before.peers[digest.sender.node], now)
        if (isFirst) updateRank(now)
        dependencies.onFleetLoad(CompactCounts.of(digest.load))
        dependencies.demand?.digestReceived(digest)
        dependencies.onFleetHealth(CompactCounts.of(digest.health ?: ByteArray(0)))
        if (digest.trafficSeen) dependencies.onTrafficSeen()
        dependencies.onWatchProgress(digest.watchProgress)
        digest.controllerLease?.let(::leaseReceived)
        digest.fleetMillis?.let(dependencies.usage.onFleetMillis)
    }

    private fun leaseReceived(lease: HeldControllerLease) {
        if (!lease.era.isPlausible) return
        dependencies.onLease(LeaseMessage.HolderRenewed(lease.toStored(), lease.renewedMillisAgo.milliseconds))
    }

    private fun updateRank(now: Duration) {
        val current = table.rank(now)
        if (current == rank) return
        rank = current
        dependencies.onRank(current)
    }

    private fun registryCallCompleted(result: RegistryResult) {
        val records = registry.completed(result) ?: return
        val before = table
        table = table.registered(records, clock.now())
        updateGatewayShare(before)
        if (table.peers.keys != before.peers.keys) sendHeartbeat(toAll = true)
    }

    private fun updateGatewayShare(before: PeerTable) {
        // Most changes replace the state of a known process, and comparing all names costs more than the change.
        if (before.peers === table.peers) return
        if (before.peers.keys != table.peers.keys) cachedGatewayShare = GatewayShare(self.node, table.allNodes)
    }

    /** Sends the next heartbeat to the processes of the current round, or to all of them. */
    private fun sendHeartbeat(toAll: Boolean) {
        val heartbeat = dependencies.nextHeartbeat().copy(sequence = ++sequence)
        val lease = heartbeat.controllerLease
        if (lease != null && table.isLarge && sequence % table.roundsPerDigest == 0L) {
            broadcast(nextDigest(heartbeat, lease))
        }
        val targets = when {
            toAll -> table.peers.values.map { it.record }
            // The others get digests, but those next in line have to notice in time that the lease is not renewed.
            lease != null && table.isLarge -> table.standbys(clock.now())
            isReported -> table.observers(clock.now(), sequence)
            else -> table.heartbeatTargets(sequence)
        }
        val bytes = PeerCodec.encode(heartbeat)
        targets.forEach { dependencies.send(InetSocketAddress(it.ip, it.peerPort), bytes) }
    }

    private fun nextDigest(own: Heartbeat, lease: HeldControllerLease): FleetDigest =
        table.digest(own, lease, dependencies.fleetLoad(), ++digestsSent, clock.now())
            .copy(health = dependencies.fleetHealth(), fleetMillis = dependencies.usage.fleetMillis())
            .let { dependencies.demand?.complete(it) ?: it }

    private val missedCrashes = MissedCrashReports(self, dependencies.crashEvidence, ::send)

    /** In a large fleet only the active controller and the processes next in line tell others what they missed. */
    private val mayTell get() = !table.isLarge || rank < ServerSourceDecision.STANDBYS

    /**
     * Tells a process that has just started who the active controller is, so that it can request its routes, and which
     * traits are blocked.
     */
    private fun welcome(newcomer: GatewayRecord) {
        val heartbeat = dependencies.nextHeartbeat()
        val lease = heartbeat.controllerLease ?: return
        if (table.isLarge) send(newcomer, PeerCodec.encode(nextDigest(heartbeat, lease)))
        missedCrashes.tell(newcomer)
    }

    /** Sends [message] to every other process. */
    fun broadcast(message: PeerMessage) {
        val bytes = PeerCodec.encode(message)
        table.peers.values.forEach { dependencies.send(InetSocketAddress(it.record.ip, it.record.peerPort), bytes) }
    }

    /** Sends [message] to the active controller and to the processes that are next in line for its role. */
    fun sendToObservers(message: PeerMessage) {
        val bytes = PeerCodec.encode(message)
        table.observers(clock.now(), ROUND_TO_ALL_OBSERVERS).forEach { send(it, bytes) }
    }

    /** Sends an encoded message to one other process. */
    fun send(receiver: GatewayRecord, message: ByteArray) {
        dependencies.send(InetSocketAddress(receiver.ip, receiver.peerPort), message)
    }

    /** Sends [message] to the active controller; returns false if none is known. */
    fun sendToController(message: PeerMessage): Boolean {
        val controller = activeController() ?: return false
        send(controller, PeerCodec.encode(message))
        return true
    }

    private fun received(bytes: ByteArray) {
        if (PlaceCodec.isPlaceMessage(bytes)) {
            PlaceCodec.decode(bytes)?.let { return dependencies.onPlaceMessage(it) }
        }
        val message = PeerCodec.decode(bytes)
        if (message == null) {
            log("peer_message_unreadable", arrayOf("bytes" to bytes.size))
            return
        }
        when (message) {
            is Heartbeat -> heartbeatReceived(message)
            is GroupAnnouncement -> dependencies.onGroupAnnouncement(message)
            is FleetDigest -> digestReceived(message)
            is RoutesRequest -> dependencies.onRoutesRequest(message)
            is GroupSuspicion -> dependencies.onSuspicion(GroupId(message.group))
            is CrashReports -> dependencies.onCrashEvidence(message.evidence)
            is StallEvidence -> dependencies.onStallEvidence(message)
            is StalledGroups -> dependencies.onStalledGroups(message)
            is UsageCounts -> dependencies.usage.onCounts(message)
        }
    }

    private fun heartbeatReceived(heartbeat: Heartbeat) {
        val before = table
        table = table.received(heartbeat, clock.now())
        if (table === before) return
        val known = before.peers[heartbeat.sender.node]
        val isNew = known == null
        if (isNew) log("peer_heard", arrayOf("node" to heartbeat.sender.node, "start" to heartbeat.sender.start))
        if (isNew) updateGatewayShare(before)
        val hasStarted = known?.heartbeat == null || known.record.start != heartbeat.sender.start
        if (hasStarted) welcome(heartbeat.sender)
        if (mayTell && heartbeat.sequence > FIRST_HEARTBEATS) {
            missedCrashes.tellIfSilent(heartbeat.sender, known, clock.now())
        }
        dependencies.onLoad(ProcessName(heartbeat.sender.node), heartbeat.load.mapKeys { BackendServer(it.key) })
        dependencies.demand?.heartbeatReceived(heartbeat)
        heartbeat.health?.let { dependencies.onHealth(ProcessName(heartbeat.sender.node), it) }
        if (heartbeat.trafficSeen) dependencies.onTrafficSeen()
        dependencies.onWatchProgress(heartbeat.watchProgress)
        heartbeat.controllerLease?.let(::leaseReceived)
        heartbeat.clock?.let { dependencies.usage.onClock(heartbeat.sender, it) }
    }

    private companion object {
        /** In the first round of a cycle, heartbeats go to all observers and not only to the controller. */
        const val ROUND_TO_ALL_OBSERVERS = 0L

        /** Heartbeats of a process that has just started, of 250 ms each. */
        const val FIRST_HEARTBEATS = 8L

        /** Without a digest for this long, heartbeats go to every process again. */
        val DIGEST_TIMEOUT = 2.3.seconds
    }
}
