package redwingcross.version.forwarding

/** The attempts of one request to leave its back end for another one; the task of the request owns them. */
internal class MoveAttempts(
    private val task: ForwardTask,
    private val context: ForwardContext,
    private val log: OfferLog,
) {
    /**
     * Looks for another back end and takes a retry, and calls [leave] only if it has both. Otherwise the request stays
     * at [from], for the reason that is logged beside [detail]. The owner of the places may have to be asked first;
     * [canLeave] tells whether the request is still to leave after that.
     */
    fun attempt(
        from: ChosenBackend,
        detail: String,
        reasonToStay: () -> String?,
        canLeave: () -> Boolean,
        leave: (ChosenBackend) -> Unit,
    ) {
        reasonToStay()?.let { return log.stayed(from, detail, it) }
        context.beforeChoice(task) {
            if (task.backend !== from) return@beforeChoice
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
