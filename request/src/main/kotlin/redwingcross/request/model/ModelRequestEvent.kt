package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.slot.SlotAnswer

/** Input of the [ModelRequestState] state machine. */
sealed interface ModelRequestEvent {
    /** The router granted or refused a slot. [attempt] is a new id, used for the attempt if a slot was granted. */
    data class SlotAnswered(val answer: SlotAnswer, val attempt: AttemptId) : ModelRequestEvent

    /** Data or a failure on the connection of [attempt]. */
    sealed interface FromAttempt : ModelRequestEvent {
        val attempt: AttemptId
    }

    /** The head of the response was received. [echoed] and [incarnation] are the attempt id and boot id it contains. */
    data class AnswerStarted(override val attempt: AttemptId, val echoed: AttemptId?, val incarnation: String?) :
        FromAttempt

    data class TokenReceived(override val attempt: AttemptId, val token: AnswerToken) : FromAttempt

    /** A comment was received, which engines send as a keep-alive. */
    data class KeepAliveReceived(override val attempt: AttemptId) : FromAttempt

    /** The end marker was received. [total] is the length of the complete answer if the engine states it, else null. */
    data class EndReceived(override val attempt: AttemptId, val total: TokenOffset?) : FromAttempt

    data class AttemptFailed(override val attempt: AttemptId, val fault: AttemptFault) : FromAttempt

    /**
     * The caller's mailbox has accepted all output delivered so far. The connection to the back end was not read in the
     * meantime, so its idle timeout starts again.
     */
    data object OutputAccepted : ModelRequestEvent

    /** No more output can be delivered to the caller. */
    data class CallerLost(val reason: CallerLoss) : ModelRequestEvent

    /** Checks deadline and timeouts. Sent at [ModelRequestState.wakeUpAt] at the latest. */
    data object Tick : ModelRequestEvent
}

/** Reason why no more output can be delivered to the caller. */
enum class CallerLoss { GONE, STALLED, ANSWER_TOO_LARGE }
