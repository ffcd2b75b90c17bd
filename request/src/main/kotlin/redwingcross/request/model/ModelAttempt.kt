package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.slot.ConfirmDispatch
import redwingcross.request.slot.Slot

/** One try of a model request at one serving group. */
class ModelAttempt(
    val slot: Slot,
    val attempt: AttemptId,
    val request: RequestId,
    val priority: Int,
    /** The first token wanted; earlier ones were delivered by other attempts. */
    val resumeAt: TokenOffset,
    /** JSON document for the engine. */
    val body: ByteArray,
)

/** Why an attempt ended without the end marker. */
sealed interface AttemptFault {
    /** No byte of the request was sent. */
    data class NotSent(val reason: NotRunReason, val detail: String) : AttemptFault

    /** The engine refused: another group or generation (409), or overload (503). */
    data class Rejected(val status: Int, val incarnation: String?) : AttemptFault

    /** The request was sent, or may have been, and the answer is absent, broken or not ours. */
    data class Broken(val detail: String) : AttemptFault
}

/** Sends an attempt, after [ConfirmDispatch] agreed, and emits what arrives; cancelling it closes its connection. */
typealias RunModelAttempt =
    suspend (ModelAttempt, ConfirmDispatch, suspend (ModelRequestEvent.FromAttempt) -> Unit) -> Unit

/** Tells the engine to stop an attempt; returns when the engine answered or after a short timeout. */
typealias CancelModelAttempt = suspend (Slot, AttemptId) -> Unit
