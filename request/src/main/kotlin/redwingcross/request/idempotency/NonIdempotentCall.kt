package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import kotlin.time.Duration

/** What does not change during an attempt. */
data class CallContext(
    val attempt: AttemptId,
    val gateway: ProcessName,
    val digest: BodyDigest,
    /** Clock reading after which the request must not be sent. */
    val deadline: Duration,
    val limits: IdempotencyLimits = IdempotencyLimits(),
)

/** How far an attempt has come. */
sealed interface CallPhase {
    data object New : CallPhase

    /** The record of this attempt is being written. */
    data class Claiming(val write: ConfirmedWrite, val calledAt: Duration) : CallPhase

    /** The record of another attempt is being read. */
    data class Inspecting(val failures: Int, val calledAt: Duration) : CallPhase

    /** The gateway of [found] is asked to abandon its attempt. */
    data class RequestingAbandon(val found: StoredRecord) : CallPhase

    /** The request was handed to the back end. */
    data class Dispatching(val claimed: RecordVersion) : CallPhase

    /** The request may have run; its outcome is being written. */
    data class Storing(
        val write: ConfirmedWrite,
        val record: IdempotencyRecord,
        val claimed: RecordVersion,
        val result: NonIdempotentResult,
    ) : CallPhase

    /** The request did not run; the record is being removed. */
    data class Removing(val result: NonIdempotentResult) : CallPhase

    /** Another attempt was promised that this one will never be dispatched. */
    data object Abandoned : CallPhase

    data class Finished(val result: NonIdempotentResult) : CallPhase
}

/** State of one attempt at a non-idempotent call; [next] is its state machine. */
data class NonIdempotentCall(
    val context: CallContext,
    val phase: CallPhase = CallPhase.New,
    /** When claiming ends without success. */
    val claimDeadline: Duration = Duration.ZERO,
    /** Writes of different values so far; numbers the nonces. */
    val writes: Int = 0,
    /** A claim may be in the store, or may appear there later, without this attempt knowing its version. */
    val mayHaveClaim: Boolean = false,
    /** True from the dispatch on, unless the dispatch proved that no byte was sent. */
    val mayHaveRun: Boolean = false,
) {
    internal val limits: IdempotencyLimits get() = context.limits

    /** Attempt ids are unique, so attempt and number are unique as well. */
    internal fun nonce(): Nonce = Nonce("${context.attempt.value}/$writes")

    internal fun record(state: RecordState, answer: StoredAnswer? = null) =
        IdempotencyRecord(state, context.attempt, context.gateway, nonce(), context.digest, answer)
}
