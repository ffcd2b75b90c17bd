package redwingcross.version.forwarding

import kotlin.time.Duration

/**
 * Outcome of a request for logs and metrics; [firstEvent] and [total] count from the arrival of the request, [waited]
 * is the time that it waited for a place.
 */
data class ForwardOutcome(
    val job: ForwardJob,
    val outcome: String,
    val reason: String,
    val sends: Int,
    val firstEvent: Duration?,
    val total: Duration,
    val waited: Duration,
)
