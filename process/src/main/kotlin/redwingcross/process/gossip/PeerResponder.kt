package redwingcross.process.gossip

import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerEndpoint
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.peer.RequestPeer
import redwingcross.process.membership.MembershipSettings
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName

/** Answers the frames of peers: pings and gossip through the membership task, the others through [PeerHandlers]. */
class PeerResponder(
    private val self: ProcessName,
    private val task: MembershipTask,
    private val handlers: PeerHandlers,
    private val request: RequestPeer,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val settings: MembershipSettings = MembershipSettings(sizeOf = GossipCodec.changeSize),
) {
    /** Returns the answer to [frame]; null if the frame is itself an answer or can't be answered. */
    suspend fun answer(frame: PeerFrame): PeerFrame? = when (frame) {
        is PeerFrame.Ping ->
            task.answerPeer(frame.from, frame.gossip)?.let { PeerFrame.Ack(self, frame.correlation, it) }
        is PeerFrame.Gossip ->
            task.answerPeer(frame.from, frame.gossip)?.let { PeerFrame.Gossip(self, frame.correlation, it) }
        is PeerFrame.PingRequest -> probe(frame)
        is PeerFrame.ControlRequest -> controlAnswer(frame)
        is PeerFrame.ControlAnswer -> {
            // An operator distributes an accepted change; the answer shows which versions are in force on this process.
            readControl(frame)?.let { handlers.adoptControl(frame.from, it, null) }
            controlAnswer(frame)
        }
        is PeerFrame.StateRequest -> PeerFrame.StateAnswer(self, frame.correlation, handlers.describeState())
        is PeerFrame.AbandonAttempt ->
            PeerFrame.AbandonAnswer(self, frame.correlation, handlers.abandonAttempt(frame.attempt))
        is PeerFrame.Ack, is PeerFrame.AbandonAnswer, is PeerFrame.StateAnswer -> null
    }

    private fun controlAnswer(frame: PeerFrame) =
        PeerFrame.ControlAnswer(self, frame.correlation, writeControl(handlers.controlState()))

    /** Pings the target and forwards its acknowledgement, so that the requesting peer receives its incarnation. */
    private suspend fun probe(frame: PeerFrame.PingRequest): PeerFrame {
        val introduction = GossipPayload.Introduction(task.view.value.self, emptyList())
        val bytes = GossipCodec.encode(introduction, clock.now())
        val answer =
            request(PeerEndpoint(frame.target), settings.directTimeout) { PeerFrame.Ping(self, it, bytes) }
        val ack = (answer as? PeerAnswer.Answered)?.frame as? PeerFrame.Ack
        return PeerFrame.Ack(self, frame.correlation, ack?.gossip ?: ByteArray(0), reached = ack != null)
    }
}
