package redwingcross.version.forwarding

import redwingcross.request.AttemptId
import redwingcross.request.forward.ForwardStep
import redwingcross.request.forward.OfferResult
import kotlin.time.Duration

/** Writes the event lines about the offers of one request. */
internal class OfferLog(
    private val attempt: AttemptId,
    private val log: (event: String, pairs: Array<Pair<String, Any?>>) -> Unit,
) {
    /** An offer to [backend] ended [after] it was made; [events] is the id of the last event that the caller has. */
    fun ended(
        backend: ChosenBackend,
        end: OfferResult,
        detail: String,
        after: Duration,
        events: Long?,
        next: ForwardStep,
    ): Unit = log(
        "offer_ended",
        arrayOf(
            "attempt" to attempt,
            "server" to backend.server,
            "group" to backend.group,
            "end" to end,
            "detail" to detail,
            "after" to after,
            "events" to events,
            "next" to next,
        ),
    )
}
