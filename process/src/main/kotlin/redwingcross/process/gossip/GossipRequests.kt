package redwingcross.process.gossip

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import redwingcross.connection.peer.BuildFrame
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.RequestPeer
import redwingcross.process.membership.Member
import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.MembershipMessage
import redwingcross.process.membership.MembershipSettings
import redwingcross.process.membership.TableDigest
import redwingcross.request.Checked
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlState
import java.util.concurrent.Semaphore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends requests of the membership task to peers. Each runs in a coroutine and sends its answer to [inputs]. */
internal class GossipRequests(
    private val scope: CoroutineScope,
    private val request: RequestPeer,
    private val clock: MonotonicClock,
    private val inputs: SendChannel<TaskInput>,
    private val self: () -> Member,
    private val settings: MembershipSettings,
) {
    /** Limits the requests in flight. Requests beyond the limit are dropped; later rounds retry them. */
    private val permits = Semaphore(MAXIMUM_REQUESTS)

    fun ping(target: Member, changes: List<MemberChange>) {
        val bytes = encode(GossipPayload.Introduction(self(), changes))
        start {
            val sentAt = clock.now()
            val answer =
                request(target.peer.toPeer(), settings.probePeriod) { PeerFrame.Ping(self().name, it, bytes) }
            if (!report(answer, sentAt)) enqueue(MembershipMessage.PingFailed(target.name))
        }
    }

    fun pingIndirectly(via: Member, target: Member) =
        sendFrame(via.peer, settings.probePeriod) { PeerFrame.PingRequest(self().name, it, target.peer.value) }

    fun sync(endpoint: Endpoint, digest: TableDigest) {
        val bytes = encode(GossipPayload.Sync(self(), digest))
        sendFrame(endpoint, CONTENT_TIMEOUT, SyncRequest(endpoint, digest)) { PeerFrame.Gossip(self().name, it, bytes) }
    }

    fun sendChanges(endpoint: Endpoint, changes: List<MemberChange>) =
        send(endpoint, GossipPayload.Introduction(self(), changes))

    fun gossip(peer: Member, digest: GossipDigest) = send(peer.peer, GossipPayload.Digest(digest))

    fun fetchZones(endpoint: Endpoint, keys: List<ZoneKey>) = send(endpoint, GossipPayload.ZonesRequest(keys))

    fun fetchControl(endpoint: Endpoint, adopt: AdoptControl) = start {
        val requestedAt = clock.now()
        val answer = request(endpoint.toPeer(), CONTENT_TIMEOUT) { PeerFrame.ControlRequest(self().name, it) }
        val frame = (answer as? PeerAnswer.Answered)?.frame as? PeerFrame.ControlAnswer
        frame?.let { readControl(it) }?.let { adopt(frame.from, it, requestedAt) }
    }

    private fun send(endpoint: Endpoint, payload: GossipPayload) {
        val bytes = encode(payload)
        sendFrame(endpoint, CONTENT_TIMEOUT) { PeerFrame.Gossip(self().name, it, bytes) }
    }

    private fun sendFrame(endpoint: Endpoint, timeout: Duration, sync: SyncRequest? = null, build: BuildFrame) = start {
        val sentAt = clock.now()
        report(request(endpoint.toPeer(), timeout, build), sentAt, sync)
    }

    /** Sends [answer] to the task; returns false if there was no answer or it was malformed. */
    private suspend fun report(answer: PeerAnswer, sentAt: Duration, sync: SyncRequest? = null): Boolean {
        val frame = (answer as? PeerAnswer.Answered)?.frame ?: return false
        val bytes =
            when (frame) {
                is PeerFrame.Ack -> frame.gossip.takeIf { frame.reached }
                is PeerFrame.Gossip -> frame.gossip
                else -> null
            } ?: return false
        return when (val decoded = GossipCodec.decode(bytes, clock.now())) {
            is Checked.Valid -> {
                inputs.send(TaskInput.Answered(frame.from, sentAt, decoded.value, sync))
                true
            }
            is Checked.Invalid -> {
                logger.warn {
                    eventLine("gossip_malformed", "peer" to frame.from, "finding" to decoded.findings.first())
                }
                false
            }
        }
    }

    private suspend fun enqueue(message: MembershipMessage) = inputs.send(TaskInput.ForMembership(message))

    private fun encode(payload: GossipPayload): ByteArray = GossipCodec.encode(payload, clock.now())

    private fun start(block: suspend () -> Unit) {
        if (!permits.tryAcquire()) return
        scope.launch {
            try {
                block()
            } finally {
                permits.release()
            }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAXIMUM_REQUESTS = 64
        val CONTENT_TIMEOUT = 2.seconds
    }
}

internal fun Endpoint.toPeer() = PeerEndpoint(value)

private val json = Json { ignoreUnknownKeys = true }

/** Returns null if the frame does not contain a valid control state. */
internal fun readControl(frame: PeerFrame.ControlAnswer): ControlState? =
    runCatching { json.decodeFromString(ControlState.serializer(), frame.control) }.getOrNull()

internal fun writeControl(state: ControlState): String = json.encodeToString(ControlState.serializer(), state)
