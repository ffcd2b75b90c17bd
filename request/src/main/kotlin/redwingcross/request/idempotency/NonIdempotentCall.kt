package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import kotlin.time.Duration

/** Constant data of an attempt. */
data class CallContext(
    val attempt: AttemptId,
    val gateway: ProcessName,
    val digest: BodyDigest,
    /** Clock reading from which on the request must not be sent. */
    val deadline: Duration,
    val limits: IdempotencyLimits = IdempotencyLimits(),
)

/** Phase of an attempt. */
sealed interface CallPhase {
    /** Nothing was done yet. */
    data object New : CallPhase

    /** The record of this attempt is being written. [calledAt] is the time of the last call to the store. */
    data class Claiming(val write: ConfirmedWrite, val calledAt: Duration) : CallPhase

    /** The record of another attempt is being read. [failures] is the number of failed reads. */
    data class Inspecting(val failures: Int, val calledAt: Duration) : CallPhase

    /** The gateway named in [found] was requested to abandon its attempt. */
    data class RequestingAbandon(val found: StoredRecord) : CallPhase

    /** The request is being sent to the back end. [claimed] is the version of this attempt's record. */
    data class Dispatching(val claimed: RecordVersion) : CallPhase

    /** The request may have run, and its outcome is being written to the record. */
    data class Storing(
        val write: ConfirmedWrite,
        val record: IdempotencyRecord,
        val claimed: RecordVersion,
        val result: NonIdempotentResult,
    ) : CallPhase

    /** The request did not run, and the record is being removed. */
    data class Removing(val result: NonIdempotentResult) : CallPhase

    /** Another attempt has received the reply that this one will never be dispatched. */
    data object Abandoned : CallPhase

    /** The attempt has ended with [result]. */
    data class Finished(val result: NonIdempotentResult) : CallPhase
}

/** State of one attempt at a non-idempotent call. [next] is the transition function of its state machine. */
data class NonIdempotentCall(
    val context: CallContext,
    val phase: CallPhase = CallPhase.New,
    /** Clock reading at which claiming the key is abandoned. */
    val claimDeadline: Duration = Duration.ZERO,
    /** Number of different values written so far, used to build unique nonces. */
    val writes: Int = 0,
    /** Whether the store may contain, or later receive, a claim of this attempt at an unknown version. */
    val mayHaveClaim: Boolean = false,
    /** True from the dispatch on, unless the dispatch ended with proof that no byte was sent. */
    val mayHaveRun: Boolean = false,
) {
    internal val limits: IdempotencyLimits get() = context.limits

    /** Nonce of the current write; unique because attempt ids are unique. */
    internal fun nonce(): Nonce = Nonce("${context.attempt.value}/$writes")

    internal fun record(state: RecordState, answer: StoredAnswer? = null) =
        IdempotencyRecord(state, context.attempt, context.gateway, nonce(), context.digest, answer)
}
