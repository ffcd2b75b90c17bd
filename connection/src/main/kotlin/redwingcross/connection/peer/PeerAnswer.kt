package redwingcross.connection.peer

import kotlin.time.Duration

/** Outcome of one request to a peer. */
sealed interface PeerAnswer {
    /** The peer answered with [frame]. */
    data class Answered(val frame: PeerFrame) : PeerAnswer

    /** The request was not sent, for example because a mailbox was full or the connection could not be opened. */
    data class Refused(val detail: String) : PeerAnswer

    /** The request may have been received, but no answer was received within the timeout. */
    data class NoAnswer(val detail: String) : PeerAnswer
}

/** Builds a frame with the correlation id that the connection assigned to it. */
typealias BuildFrame = (CorrelationId) -> PeerFrame

/** Handles a frame from a peer and returns its answer, or null to send none. */
typealias AnswerFrame = suspend (PeerFrame) -> PeerFrame?

/** Sends one request to a peer and waits for its answer, at most for the given duration. */
typealias RequestPeer = suspend (PeerEndpoint, Duration, BuildFrame) -> PeerAnswer
