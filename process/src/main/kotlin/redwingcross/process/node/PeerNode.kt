package redwingcross.process.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import redwingcross.connection.peer.BuildFrame
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.PeerNetwork
import redwingcross.process.gossip.MembershipTask
import redwingcross.process.gossip.PeerHandlers
import redwingcross.process.gossip.PeerResponder
import redwingcross.process.gossip.readControl
import redwingcross.process.membership.Member
import redwingcross.process.membership.RandomSeed
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.eventLine
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

private val controlTimeout = 2.seconds

/** The control state of the peer [from], requested at [requestedAt] on the process clock. */
class PeerControlState(val from: ProcessName, val state: ControlState, val requestedAt: Duration)

/** Peer communication of one process: its sockets, its membership and its gossip. */
class PeerNode(
    private val self: Member,
    seeds: List<Endpoint>,
    handlers: PeerHandlers,
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val network = PeerNetwork(clock = clock)

    /** The member table and the gossip of this process. */
    val membership: MembershipTask =
        MembershipTask(self, seeds, RandomSeed(Random.nextLong()), network::request, handlers, clock)

    private val answers = PeerResponder(self.name, membership, handlers, network::request, clock)

    /** Runs until cancelled. While the listener's port is in use, binding it is retried each [BIND_RETRY_INTERVAL]. */
    suspend fun run(): Unit = coroutineScope {
        launch { network.run() }
        launch { membership.run() }
        while (true) {
            listen()
            delay(BIND_RETRY_INTERVAL)
        }
    }

    /** Returns when the listener can't be bound or fails. */
    private suspend fun listen() {
        try {
            network.listen(PeerEndpoint(self.peer.value), answers::answer)
        } catch (failure: IOException) {
            logger.warn { eventLine("peer_listener_failed", "endpoint" to self.peer, "detail" to failure.message) }
        }
    }

    /** Requests the control state of the process at [endpoint]; null if it does not answer within the timeout. */
    suspend fun requestControlState(endpoint: Endpoint): PeerControlState? {
        val requestedAt = clock.now()
        val answer = request(endpoint, controlTimeout) { PeerFrame.ControlRequest(self.name, it) }
        val frame = (answer as? PeerAnswer.Answered)?.frame as? PeerFrame.ControlAnswer
        return frame?.let { readControl(it) }?.let { PeerControlState(frame.from, it, requestedAt) }
    }

    /** Sends a frame to [endpoint] and waits for its answer. */
    suspend fun request(endpoint: Endpoint, timeout: Duration, build: BuildFrame): PeerAnswer =
        network.request(PeerEndpoint(endpoint.value), timeout, build)

    private companion object {
        /** A connection of another program that holds the port usually ends within seconds. */
        val BIND_RETRY_INTERVAL = 500.milliseconds
    }
}
