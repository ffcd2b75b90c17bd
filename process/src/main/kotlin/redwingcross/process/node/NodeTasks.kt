package redwingcross.process.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import redwingcross.connection.platform.PlatformStore
import redwingcross.process.gossip.PeerHandlers
import redwingcross.process.membership.Member
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlTask
import redwingcross.version.control.ViewSettings

/** The tasks that every gateway and controller runs: control state, peers, and the exchange between the two. */
class NodeTasks(
    member: Member,
    private val seeds: List<Endpoint>,
    store: PlatformStore,
    viewSettings: ViewSettings,
    clock: MonotonicClock,
    private val scope: CoroutineScope,
    describeState: () -> String,
    abandonAttempt: suspend (AttemptId) -> Boolean = { false },
) {
    private val inbox = PeerInbox()

    /** The task that owns the control state. */
    val control: ControlTask = ControlTask(
        decision = ControlDecision(viewSettings, seeds.size, startedAt = clock.now()),
        settings = viewSettings,
        clock = clock,
        watch = store.watch,
        requestPeerState = ::requestPeerState,
        requestSeedPeerStates = ::requestSeedPeerStates,
    )

    /** Connections to the peers, with membership and gossip. */
    val peers: PeerNode = PeerNode(
        member,
        seeds,
        PeerHandlers(
            controlState = { control.view.value.control },
            adoptControl = { from, state, requestedAt -> control.peerStateReceived(from, state, requestedAt) },
            describeState = { describeState() },
            abandonAttempt = abandonAttempt,
            stampReceived = { from, stamp, requestedAt ->
                inbox.offer(PeerUpdate.StampReceived(from, stamp, requestedAt))
            },
            zoneReceived = { status, publishedAt -> inbox.offer(PeerUpdate.ZoneReceived(status, publishedAt)) },
            coldReceived = { inbox.offer(PeerUpdate.ColdReported(it)) },
        ),
        clock,
    )

    private val bridge = ControlBridge(control, peers.membership, seeds, clock)

    /** Starts the tasks; [onUpdate] is called with the updates from peers, one after the other. */
    fun start(onUpdate: suspend (PeerUpdate) -> Unit) {
        scope.launch { control.run() }
        scope.launch { peers.run() }
        scope.launch { bridge.run() }
        scope.launch { inbox.run(onUpdate) }
    }

    private fun requestPeerState(name: ProcessName) {
        val peer = peers.membership.view.value.present().find { it.name == name } ?: return
        requestStateFrom(peer.peer)
    }

    private fun requestSeedPeerStates() = seeds.forEach(::requestStateFrom)

    private fun requestStateFrom(endpoint: Endpoint) {
        scope.launch {
            peers.requestControlState(endpoint)?.let { control.peerStateReceived(it.from, it.state, it.requestedAt) }
        }
    }
}
