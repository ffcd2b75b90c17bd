package redwingcross.request.service

import redwingcross.request.AttemptId
import redwingcross.request.Outcome
import redwingcross.request.idempotency.NonIdempotentResult

/** Sends the call of one attempt. Must be called at most once for each attempt id. */
typealias DispatchAttempt = suspend (AttemptId) -> Outcome<ServiceAnswer>

/**
 * Runs a call at most once across retries with the same key. The run continues to its end if the caller disconnects.
 */
typealias RunNonIdempotent = suspend (ServiceCall, DispatchAttempt) -> NonIdempotentResult
