package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import kotlin.time.Duration

/** What the task of a model request carries out. */
sealed interface ModelRequestEffect {
    data class Acquire(val request: SlotRequest) : ModelRequestEffect

    data class Dispatch(val slot: Slot, val attempt: AttemptId, val resumeAt: TokenOffset) : ModelRequestEffect

    data class Deliver(val token: AnswerToken) : ModelRequestEffect

    /** Shows the caller that the request is alive, and finds out whether the caller is. */
    data object KeepCallerAlive : ModelRequestEffect

    /** Gives the slot back; nothing runs at the back end. */
    data class Release(val slot: Slot, val result: SlotResult) : ModelRequestEffect

    /** Closes the attempt's connection, cancels it at the engine and then gives the slot back. */
    data class Abandon(val slot: Slot, val attempt: AttemptId, val result: SlotResult) : ModelRequestEffect

    data class Finish(val result: ModelRequestResult) : ModelRequestEffect
}

/** How a model request ended. */
sealed interface ModelRequestResult {
    /** The whole answer was delivered. */
    data object Complete : ModelRequestResult

    /** No byte of the request was sent to any back end. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : ModelRequestResult

    /** Some attempt was sent; the delivered output is a prefix of the answer. */
    data class Incomplete(val cause: IncompleteCause, val detail: String) : ModelRequestResult

    data class Abandoned(val reason: CallerLoss) : ModelRequestResult
}

/** Why an answer is incomplete. */
enum class IncompleteCause { DEADLINE, BACKENDS_FAILED, NO_SLOT }
