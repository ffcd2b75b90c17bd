package redwingcross.version.forwarding

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.forward.ForwardStep
import redwingcross.request.forward.OfferResult
import kotlin.time.Duration

/** Writes the event lines about the offers of one request. */
internal class OfferLog(
    private val attempt: AttemptId,
    private val log: (event: String, pairs: Array<Pair<String, Any?>>) -> Unit,
) {
    private var loggedStay: Triple<BackendServer, String, String>? = null

    /**
     * An offer to [backend] ended [after] it was made; [events] is the id of the last event that the caller has,
     * [sends] the number of sends so far, and [retry] whether there was a retry, null if none was needed or allowed.
     */
    @Suppress("LongParameterList")
    fun ended(
        backend: ChosenBackend,
        end: OfferResult,
        detail: String,
        after: Duration,
        events: Long?,
        sends: Int,
        retry: Boolean?,
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
            "sends" to sends,
            "retry" to retry,
            "next" to next,
        ),
    )

    /** The request is at [backend] again, which it had left, because of [reason]. */
    fun returned(backend: ChosenBackend, reason: String): Unit = log(
        "move_reverted",
        arrayOf("attempt" to attempt, "server" to backend.server, "group" to backend.group, "reason" to reason),
    )

    /** The request stays at [backend], which it was to leave because of [detail]; not repeated for one [reason]. */
    fun stayed(backend: ChosenBackend, detail: String, reason: String) {
        val stay = Triple(backend.server, detail, reason)
        if (stay == loggedStay) return
        loggedStay = stay
        log(
            "move_declined",
            arrayOf(
                "attempt" to attempt,
                "server" to backend.server,
                "group" to backend.group,
                "detail" to detail,
                "reason" to reason,
            ),
        )
    }
}
