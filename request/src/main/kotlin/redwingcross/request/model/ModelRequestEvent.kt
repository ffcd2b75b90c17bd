package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.slot.SlotAnswer

/** What a [ModelRequestState] reacts to. */
sealed interface ModelRequestEvent {
    /** The router answered; [attempt] is a fresh id for the attempt that a granted slot allows. */
    data class SlotAnswered(val answer: SlotAnswer, val attempt: AttemptId) : ModelRequestEvent

    /** Something arrived from the back end on the connection of [attempt]. */
    sealed interface FromAttempt : ModelRequestEvent {
        val attempt: AttemptId
    }

    /** The head of the answer arrived with the attempt id and boot id that the back end put there. */
    data class AnswerStarted(override val attempt: AttemptId, val echoed: AttemptId?, val incarnation: String?) :
        FromAttempt

    data class TokenReceived(override val attempt: AttemptId, val token: AnswerToken) : FromAttempt

    /** A comment arrived, which only shows that the back end is alive. */
    data class KeepAliveReceived(override val attempt: AttemptId) : FromAttempt

    /** The end marker arrived; [total] is the length of the whole answer if the back end states it. */
    data class EndReceived(override val attempt: AttemptId, val total: TokenOffset?) : FromAttempt

    data class AttemptFailed(override val attempt: AttemptId, val fault: AttemptFault) : FromAttempt

    /** The caller's mailbox took everything delivered so far; the back end was not read in the meantime. */
    data object OutputTaken : ModelRequestEvent

    data class CallerLost(val reason: CallerLoss) : ModelRequestEvent

    /** Time passed; sent at [ModelRequestState.wakeUpAt] at the latest. */
    data object Tick : ModelRequestEvent
}

/** Why output can't be delivered any more. */
enum class CallerLoss { GONE, STALLED, ANSWER_TOO_LARGE }
