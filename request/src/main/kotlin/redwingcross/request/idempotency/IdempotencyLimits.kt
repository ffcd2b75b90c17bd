package redwingcross.request.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds of a non-idempotent call. */
data class IdempotencyLimits(
    /**
     * Longest time from the call that confirmed the claim to the dispatch. A process that was stopped for longer finds
     * its claim expired; the record may have been removed in the meantime.
     */
    val claimLifetime: Duration = 5.seconds,
    /** Longest time spent on claiming the key, including the inspection of earlier attempts. */
    val claimWait: Duration = 5.seconds,
    /** Longest time for which the caller waits for its answer to be stored. */
    val storeWait: Duration = 3.seconds,
    /** Largest answer body, in bytes, that is kept for replays. */
    val maxStoredBody: Int = 65_536,
    /** Bounds the rounds in which attempts with one key replace each other. */
    val maxClaims: Int = 8,
)
