package redwingcross.request.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of a non-idempotent call. */
data class IdempotencyLimits(
    /**
     * Maximum time between the call that confirmed the claim and the dispatch. If the process was suspended for longer,
     * the claim has expired, because the record may have been removed in the meantime.
     */
    val claimLifetime: Duration = 5.seconds,
    /** Maximum time spent on claiming the key, including the inspection of earlier attempts. */
    val claimWait: Duration = 5.seconds,
    /** Maximum time for which the response to the caller is delayed until the answer is stored. */
    val storeWait: Duration = 3.seconds,
    /** Maximum size in bytes of an answer body that is stored for replays. */
    val maxStoredBody: Int = 65_536,
    /** Maximum number of claims of an attempt; limits how often attempts with the same key replace each other. */
    val maxClaims: Int = 8,
)
