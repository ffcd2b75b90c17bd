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
    /** A third attempt fits into the deadline after two silent ones; more would only add load to a failing fleet. */
    val maxAttempts: Int = 3,
    /** Engines send a comment every 2 s, so 10 s without a byte mean that the connection or the engine is dead. */
    val backendSilence: Duration = 10.seconds,
    /** Hint for a caller whose attempts all failed to connect. */
    val retryAfter: Duration = 1.seconds,
)

/** What outlives the single attempts of a request. */
data class ModelRequestProgress(
    val request: SlotRequest,
    val limits: ModelRequestLimits,
    val attempts: Int = 0,
    val delivered: TokenOffset = TokenOffset.START,
    /** True once a byte of any attempt may have reached a back end. */
    val wasSent: Boolean = false,
    val failedServers: Set<BackendServer> = emptySet(),
    val lastFailure: String = "",
    val lastNotRun: NotRunReason = NotRunReason.NO_BACKEND_SERVER,
)

/** State of one model request, from the first wait for a slot to its end. */
sealed interface ModelRequestState {
    /** Time of the next [ModelRequestEvent.Tick] that can change the state; null if none can. */
    val wakeUpAt: Duration?

    data class Waiting(val progress: ModelRequestProgress) : ModelRequestState {
        override val wakeUpAt: Duration get() = progress.request.deadline
    }

    data class Attempting(
        val progress: ModelRequestProgress,
        val slot: Slot,
        val attempt: AttemptId,
        val dispatchedAt: Duration,
        val lastHeardAt: Duration,
        /** True once the head of the answer arrived and named this attempt. */
        val isAnswering: Boolean = false,
        /** Time from dispatch to the first token of this attempt. */
        val firstToken: Duration? = null,
        val incarnation: String? = null,
    ) : ModelRequestState {
        override val wakeUpAt: Duration
            get() = minOf(progress.request.deadline, lastHeardAt + progress.limits.backendSilence)
    }

    data object Finished : ModelRequestState {
        override val wakeUpAt: Duration? get() = null
    }
}
