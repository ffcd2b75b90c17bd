package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.NotRunReason
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of one model request. */
data class ModelRequestLimits(
    /**
     * Maximum number of attempts. After two attempts that timed out, a third still fits into the deadline; more
     * attempts would only add load to a fleet that is already failing.
     */
    val maxAttempts: Int = 3,
    /** Engines send a comment every 2 s, so 10 s without a byte mean that the connection or the engine has failed. */
    val idleTimeout: Duration = 10.seconds,
    /** Retry hint for the caller when the request is refused without having been sent to a back end. */
    val retryAfter: Duration = 1.seconds,
)

/** Progress of a request across its attempts. */
data class ModelRequestProgress(
    val request: SlotRequest,
    val limits: ModelRequestLimits,
    val attempts: Int = 0,
    /** Offset of the next token to deliver. */
    val delivered: TokenOffset = TokenOffset.START,
    /** True once a byte of any attempt may have reached a back end. */
    val wasSent: Boolean = false,
    /** Servers of failed attempts, excluded from further slots of this request. */
    val failedServers: Set<BackendServer> = emptySet(),
    /** Detail of the last failed attempt, for the error message. */
    val lastFailure: String = "",
    /** Reason of the last attempt that was not sent, reported if no attempt was sent. */
    val lastNotRun: NotRunReason = NotRunReason.NO_BACKEND_SERVER,
)

/** State of a model request, from waiting for the first slot to its end. */
sealed interface ModelRequestState {
    /** Time of the next [ModelRequestEvent.Tick] that can change the state, or null if the state has no timeout. */
    val wakeUpAt: Duration?

    /** Waits for a slot. */
    data class Waiting(val progress: ModelRequestProgress) : ModelRequestState {
        override val wakeUpAt: Duration get() = progress.request.deadline
    }

    /** An attempt has been dispatched to the server of [slot]. */
    data class Attempting(
        val progress: ModelRequestProgress,
        val slot: Slot,
        val attempt: AttemptId,
        val dispatchedAt: Duration,
        /** Last time at which a byte was received or the caller accepted output; start of the idle timeout. */
        val lastActivityAt: Duration,
        /** True once the head of the response was received with the id of this attempt. */
        val isAnswering: Boolean = false,
        /** Time from dispatch to the first token of this attempt. */
        val firstToken: Duration? = null,
        /** Boot id in the head of the response; null before the head was received, or if it contains none. */
        val incarnation: String? = null,
    ) : ModelRequestState {
        override val wakeUpAt: Duration
            get() = minOf(progress.request.deadline, lastActivityAt + progress.limits.idleTimeout)
    }

    /** The request has ended. */
    data object Finished : ModelRequestState {
        override val wakeUpAt: Duration? get() = null
    }
}
