package redwingcross.request.service

import redwingcross.request.AttemptId
import redwingcross.request.Outcome
import redwingcross.request.idempotency.NonIdempotentResult

/** Sends the call of one attempt; may be called at most once for an attempt id. */
typealias DispatchAttempt = suspend (AttemptId) -> Outcome<ServiceAnswer>

/** Runs a call at most once across retries with the same key; it ends even if its caller goes away. */
typealias RunNonIdempotent = suspend (ServiceCall, DispatchAttempt) -> NonIdempotentResult
