package redwingcross.version.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The attempts of one request to leave its back end for another one; the task of the request owns them. */
internal class MoveAttempts(
    private val task: ForwardTask,
    private val context: ForwardContext,
    private val log: OfferLog,
) {
    /** When the owner of the places was last asked; null before that. */
    private var askedAt: Duration? = null

    /**
     * Looks for another back end and takes a retry, and calls [leave] only if it has both. Otherwise the request stays
     * at [from], for the reason that is logged beside [detail]. The owner of the places may have to be asked first;
     * [canLeave] tells whether the request is still to leave after that. Does nothing within [ASK_INTERVAL] after the
     * owner was asked.
     */
    fun attempt(
        from: ChosenBackend,
        detail: String,
        reasonToStay: () -> String?,
        canLeave: () -> Boolean,
        leave: (ChosenBackend) -> Unit,
    ) {
        val now = context.clock.now()
        if (askedAt?.let { now - it < ASK_INTERVAL } == true) return
        reasonToStay()?.let { return log.stayed(from, detail, it) }
        var isAnswered = false
        context.beforeChoice(task) {
            isAnswered = true
            task.job.exchange.guarded {
                if (task.backend !== from) return@guarded
                val isLeaving = canLeave() && reasonToStay() == null
                val target = if (isLeaving) context.moves.choose(task.choiceRequest()) else null
                if (target == null || !context.tryAcquireRetry(task.job.service)) {
                    context.moves.stayed(task)
                    if (isLeaving) log.stayed(from, detail, "no_place")
                } else {
                    leave(target)
                }
            }
        }
        // A choice without the owner is made at once and costs no message.
        if (!isAnswered) askedAt = now
    }

    private companion object {
        /**
         * The owner of the places answers for all gateways, and most of the requests may want to move at once. A client
         * gives a stream up after 2 s without an event, so it allows several attempts within that time.
         */
        val ASK_INTERVAL = 500.milliseconds
    }
}

/** What is known of the loss of the group that a request is at; belongs to one offer of the request. */
internal class GroupLoss(private val record: () -> Unit) {
    /** Whether the controller reported the group as lost while the request was there. */
    var isReported = false

    /** Whether the attribution of crashes knows that the request was there at the loss. */
    var isCounted = false
        private set

    /** Tells the attribution of crashes, once, that the request was there at the loss. */
    fun count() {
        if (isCounted) return
        isCounted = true
        record()
    }
}
