package redwingcross.request.forward

import redwingcross.request.BackendServer
import kotlin.time.Duration

/** Terms of the route that bound the sends of one request. */
data class ForwardTerms(
    val repeatability: Repeatability,
    /** Most back ends to which one attempt of the caller may be sent. */
    val maximumSends: Int,
    /** When the final answer is due: the caller's deadline or the timeout of the route, whichever is earlier. */
    val deadline: Duration,
)

/** What is known of one request while it is forwarded. */
data class ForwardState(
    val terms: ForwardTerms,
    /** Back ends that the request was offered to, in order. */
    val offered: List<BackendServer> = emptyList(),
    /** Back ends whose connection took at least one byte of the request. */
    val sends: Int = 0,
    /** Whether some back end may have begun to run the request. */
    val mayHaveRun: Boolean = false,
    /** Whether the head of an answer has gone to the caller. */
    val answering: Boolean = false,
)

/** How one offer to a back end ended. */
sealed interface OfferEnd {
    /** No byte of the request left this process. */
    data object NotSent : OfferEnd

    /** The back end states that it did not run the request. */
    data object Declined : OfferEnd

    /** The back end answered with an error of its own after it had run the request. */
    data object Failed : OfferEnd

    /** The connection ended, or the answer can't be used. */
    data object Lost : OfferEnd

    /** The stream makes no progress, or its group has lost a member. */
    data object Stalled : OfferEnd
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
    fun afterOffer(state: ForwardState, end: OfferEnd, now: Duration, mayRepeat: () -> Boolean): ForwardStep = when {
        now >= state.terms.deadline -> expired(state)
        canOfferAgain(state, end) && (state.sends == 0 || mayRepeat()) -> ForwardStep.OfferAgain(state.answering)
        state.answering -> ForwardStep.BreakOff
        end == OfferEnd.Failed -> ForwardStep.PassError
        state.mayHaveRun -> ForwardStep.ReportUnknown
        else -> ForwardStep.Refuse
    }

    /** What a request whose deadline has passed is told. */
    fun expired(state: ForwardState): ForwardStep =
        if (state.answering) ForwardStep.BreakOff else ForwardStep.ReportTimeout

    /**
     * Whether a request whose back end makes no progress may be moved. One that could not be offered again is left
     * where it is: its back end may go on, and breaking it off would only make sure that it fails.
     */
    fun mayMove(state: ForwardState): Boolean =
        state.terms.repeatability.mayRunAgain && state.sends + 1 < state.terms.maximumSends

    private fun canOfferAgain(state: ForwardState, end: OfferEnd): Boolean {
        if (state.sends >= state.terms.maximumSends && end != OfferEnd.NotSent) return false
        if (state.offered.size >= state.terms.maximumSends + MAXIMUM_FAILED_CONNECTS) return false
        return when (end) {
            OfferEnd.NotSent, OfferEnd.Declined -> !state.mayHaveRun || state.terms.repeatability.mayRunAgain
            OfferEnd.Failed -> state.terms.repeatability == Repeatability.IDEMPOTENT
            OfferEnd.Lost, OfferEnd.Stalled -> state.terms.repeatability.mayRunAgain
        }
    }

    /** Offers that failed before a byte was sent are cheap, but a request must not try every back end in turn. */
    private const val MAXIMUM_FAILED_CONNECTS = 2
}
