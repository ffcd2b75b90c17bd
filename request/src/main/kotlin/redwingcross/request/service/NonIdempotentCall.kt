package redwingcross.request.service

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome

/** Whether an earlier attempt with the same idempotency key may have run. */
enum class EarlierAttempts { NONE, UNKNOWN }

/** What became of a call that must run at most once. */
sealed interface NonIdempotentResult {
    /** The call ran once; [replayed] if this answer was stored by an earlier attempt. */
    data class Answered(val answer: ServiceAnswer, val replayed: Boolean) : NonIdempotentResult

    /** This attempt was not run; [earlierAttempts] tells whether the same key may have run before. */
    data class NotRun(val reason: NotRunReason, val earlierAttempts: EarlierAttempts) : NonIdempotentResult

    /** This attempt was sent and its outcome is not known. */
    data class OutcomeUnknown(val detail: String) : NonIdempotentResult

    /** An earlier attempt with this key was started and its outcome is not known; this attempt was not run. */
    data class EarlierOutcomeUnknown(val detail: String) : NonIdempotentResult

    /** An earlier attempt completed with [status], but its answer was too large to be kept. */
    data class AnswerNotKept(val status: Int) : NonIdempotentResult

    /** The key was used before with another request; this one was not run. */
    data object KeyReused : NonIdempotentResult
}

/** Sends the call of one attempt; may be called at most once for an attempt id. */
typealias DispatchAttempt = suspend (AttemptId) -> Outcome<ServiceAnswer>

/** Runs a call at most once across retries with the same key; it ends even if its caller goes away. */
typealias RunNonIdempotent = suspend (ServiceCall, DispatchAttempt) -> NonIdempotentResult
