package redwingcross.request.idempotency

import redwingcross.request.NotRunReason
import redwingcross.request.service.ServiceAnswer

/** Whether an earlier attempt with the same key may have run. */
enum class EarlierAttempts { NONE, UNKNOWN }

/** Result of a non-idempotent call as reported to the caller; the HTTP status is given in parentheses. */
sealed interface NonIdempotentResult {
    /** The complete answer. [replayed] is true if it was stored by an earlier attempt. */
    data class Answered(val answer: ServiceAnswer, val replayed: Boolean) : NonIdempotentResult

    /** An earlier attempt completed with [status]; its answer was too large to be stored (409, `completed: true`). */
    data class CompletedWithoutBody(val status: Int) : NonIdempotentResult

    /** The key was already used for a different request; this attempt was not sent (422). */
    data object KeyReused : NonIdempotentResult

    /** This attempt did not run and never will (503). */
    data class NotRun(val reason: NotRunReason, val earlierAttempts: EarlierAttempts) : NonIdempotentResult

    /** A later attempt with the same key replaced this one, which did not run and never will (409, not run). */
    data object Superseded : NonIdempotentResult

    /** This attempt may have run (504). */
    data class OutcomeUnknown(val detail: String) : NonIdempotentResult

    /** This attempt did not run, but an earlier one may have run or may still be running (409). */
    data class EarlierAttemptUnknown(val detail: String) : NonIdempotentResult
}
