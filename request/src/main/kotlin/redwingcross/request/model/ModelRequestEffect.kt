package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import kotlin.time.Duration

/** Action that the task of a model request carries out. */
sealed interface ModelRequestEffect {
    /** Waits for a slot; the result is a [ModelRequestEvent.SlotAnswered]. */
    data class Acquire(val request: SlotRequest) : ModelRequestEffect

    /** Sends the request to the server of [slot]; the engine starts at token [resumeAt]. */
    data class Dispatch(val slot: Slot, val attempt: AttemptId, val resumeAt: TokenOffset) : ModelRequestEffect

    /** Passes [token] on to the caller. */
    data class Deliver(val token: AnswerToken) : ModelRequestEffect

    /** Sends a keep-alive to the caller, which also detects that the caller has disconnected. */
    data object SendKeepAlive : ModelRequestEffect

    /** Releases the slot; nothing is running at the back end. */
    data class Release(val slot: Slot, val result: SlotResult) : ModelRequestEffect

    /** Closes the connection of the attempt, cancels the attempt at the engine and then releases the slot. */
    data class Abandon(val slot: Slot, val attempt: AttemptId, val result: SlotResult) : ModelRequestEffect

    /** Ends the request with [result]. */
    data class Finish(val result: ModelRequestResult) : ModelRequestEffect
}

/** Result of a model request. */
sealed interface ModelRequestResult {
    /** The complete answer was delivered. */
    data object Complete : ModelRequestResult

    /** No byte of the request was sent to any back end. [retryAfter] is a hint for the caller. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : ModelRequestResult

    /** At least one attempt was sent, and the delivered output is only a prefix of the answer. */
    data class Incomplete(val cause: IncompleteCause, val detail: String) : ModelRequestResult

    /** The request was ended because no more output can be delivered to the caller. */
    data class Abandoned(val reason: CallerLoss) : ModelRequestResult
}

/** Reason why an answer is incomplete. */
enum class IncompleteCause { DEADLINE, BACKENDS_FAILED, NO_SLOT }
