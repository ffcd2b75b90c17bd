package redwingcross.request.forward

import redwingcross.request.BackendServer
import kotlin.time.Duration

/** Terms of the route that bound the sends of one request. */
data class ForwardLimits(
    val repeatability: Repeatability,
    /** Most back ends to which one attempt of the caller may be sent. */
    val maximumSends: Int,
    /** When the final answer is due: the caller's deadline or the timeout of the route, whichever is earlier. */
    val deadline: Duration,
)

/** What is known of one request while it is forwarded. */
data class ForwardState(
    val limits: ForwardLimits,
    /** Back ends that the request was offered to, in order. */
    val offered: List<BackendServer> = emptyList(),
    /** Back ends whose connection took at least one byte of the request. */
    val sends: Int = 0,
    /** Whether some back end may have begun to run the request. */
    val mayHaveRun: Boolean = false,
    /** Whether the head of an answer has gone to the caller. */
    val answerStarted: Boolean = false,
)

/** How one offer to a back end ended. */
sealed interface OfferResult {
    /** No byte of the request left this process. */
    data object NotSent : OfferResult

    /** The back end states that it did not run the request. */
    data object Declined : OfferResult

    /** The back end answered with an error of its own after it had run the request. */
    data object Failed : OfferResult

    /** The connection ended, or the answer can't be used. */
    data object Lost : OfferResult

    /** The stream makes no progress, or its group has lost a member. */
    data object Stalled : OfferResult
}

/** What the task of the request does next. */
sealed interface ForwardStep {
    /** Offers the request to another back end; [resuming] if a part of the answer has gone to the caller. */
    data class OfferAgain(val resuming: Boolean) : ForwardStep

    /** Passes the back end's own error on to the caller. */
    data object PassError : ForwardStep

    /** The request has not run and never will: refused, with a time to come back. */
    data object Refuse : ForwardStep

    /** The outcome is unknown. */
    data object ReportUnknown : ForwardStep

    /** A part of the answer has gone out; the connection ends so that it can't look complete. */
    data object BreakOff : ForwardStep

    /** The deadline passed. */
    data object ReportTimeout : ForwardStep
}

/** Decides what follows when an offer has ended without a usable answer. */
object ForwardDecision {
    /** [mayRepeat] takes one repetition out of the retry budget and is asked only if it is needed. */
    fun afterOffer(state: ForwardState, end: OfferResult, now: Duration, mayRepeat: () -> Boolean): ForwardStep = when {
        now >= state.limits.deadline -> expired(state)
        canOfferAgain(state, end) && (state.sends == 0 || mayRepeat()) -> ForwardStep.OfferAgain(state.answerStarted)
        state.answerStarted -> ForwardStep.BreakOff
        end == OfferResult.Failed -> ForwardStep.PassError
        state.mayHaveRun -> ForwardStep.ReportUnknown
        else -> ForwardStep.Refuse
    }

    /** What a request whose deadline has passed is told. */
    fun expired(state: ForwardState): ForwardStep =
        if (state.answerStarted) ForwardStep.BreakOff else ForwardStep.ReportTimeout

    /**
     * Whether a request whose back end makes no progress may be moved. One that could not be offered again is left
     * where it is: its back end may go on, and breaking it off would only make sure that it fails.
     */
    fun canRedispatch(state: ForwardState): Boolean =
        state.limits.repeatability.isRepeatable && state.sends + 1 < state.limits.maximumSends

    private fun canOfferAgain(state: ForwardState, end: OfferResult): Boolean {
        if (state.sends >= state.limits.maximumSends && end != OfferResult.NotSent) return false
        if (state.offered.size >= state.limits.maximumSends + MAXIMUM_FAILED_CONNECTS) return false
        return when (end) {
            OfferResult.NotSent, OfferResult.Declined -> !state.mayHaveRun || state.limits.repeatability.isRepeatable
            OfferResult.Failed -> state.limits.repeatability == Repeatability.IDEMPOTENT
            OfferResult.Lost, OfferResult.Stalled -> state.limits.repeatability.isRepeatable
        }
    }

    /** Offers that failed before a byte was sent are cheap, but a request must not try every back end in turn. */
    private const val MAXIMUM_FAILED_CONNECTS = 2
}
