package redwingcross.connection.peer

import kotlin.time.Duration

/** What became of one request to a peer. */
sealed interface PeerAnswer {
    data class Answered(val frame: PeerFrame) : PeerAnswer

    /** Nothing was sent: the mailbox was full or the connection could not be opened. */
    data class Refused(val detail: String) : PeerAnswer

    /** The request may have arrived; no answer came in time. */
    data class NoAnswer(val detail: String) : PeerAnswer
}

/** Builds a frame once its correlation id is known. */
typealias BuildFrame = (CorrelationId) -> PeerFrame

/** Answers a frame from a peer; null sends no answer. */
typealias AnswerFrame = suspend (PeerFrame) -> PeerFrame?

/** Sends one request and waits for its answer, at most for the given time. */
typealias RequestPeer = suspend (PeerEndpoint, Duration, BuildFrame) -> PeerAnswer
