package redwingcross.request.idempotency

import redwingcross.request.NotRunReason
import redwingcross.request.service.ServiceAnswer

/** Whether an earlier attempt with the same key may have run. */
enum class EarlierAttempts { NONE, UNKNOWN }

/** What the caller of a non-idempotent request is told. */
sealed interface NonIdempotentResult {
    /** The whole answer; [replayed] if it was stored by an earlier attempt. */
    data class Answered(val answer: ServiceAnswer, val replayed: Boolean) : NonIdempotentResult

    /** An earlier attempt completed with [status]; its answer was too large to be stored (409, `completed: true`). */
    data class CompletedWithoutBody(val status: Int) : NonIdempotentResult

    /** The key was used for another request (422); nothing was sent for this attempt. */
    data object KeyReused : NonIdempotentResult

    /** This attempt was not run and never will be (503). */
    data class NotRun(val reason: NotRunReason, val earlierAttempts: EarlierAttempts) : NonIdempotentResult

    /** A later attempt with the same key replaced this one, which was not run and never will be (409, not run). */
    data object Superseded : NonIdempotentResult

    /** This attempt may have run (504). */
    data class OutcomeUnknown(val detail: String) : NonIdempotentResult

    /** This attempt was not run, but an earlier one may have run or may still be running (409). */
    data class EarlierAttemptUnknown(val detail: String) : NonIdempotentResult
}
