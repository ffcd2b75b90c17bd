package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.slot.ConfirmDispatch
import redwingcross.request.slot.Slot

/** One attempt to run a model request at a serving group. */
class ModelAttempt(
    val slot: Slot,
    val attempt: AttemptId,
    val request: RequestId,
    val priority: Int,
    /** Offset of the first token to send; earlier attempts have already delivered the tokens before it. */
    val resumeAt: TokenOffset,
    /** Body of the HTTP request to the engine, a JSON document. */
    val body: ByteArray,
)

/** Reason why an attempt ended before its end marker was received. */
sealed interface AttemptFault {
    /** No byte of the request was sent to the engine. */
    data class NotSent(val reason: NotRunReason, val detail: String) : AttemptFault

    /** The engine refused the request: it serves another group or generation (409), or is overloaded (503). */
    data class Rejected(val status: Int, val incarnation: String?) : AttemptFault

    /**
     * The request was sent, or may have been sent, but the response is missing, malformed, incomplete or belongs to
     * another request.
     */
    data class Broken(val detail: String) : AttemptFault
}

/**
 * Sends an attempt if [ConfirmDispatch] returns true, and emits an event for everything that is received from the
 * engine. Cancelling the call closes the connection of the attempt.
 */
typealias RunModelAttempt =
    suspend (ModelAttempt, ConfirmDispatch, suspend (ModelRequestEvent.FromAttempt) -> Unit) -> Unit

/** Requests the engine to cancel an attempt. Returns once the engine has responded, or after a short timeout. */
typealias CancelModelAttempt = suspend (Slot, AttemptId) -> Unit
