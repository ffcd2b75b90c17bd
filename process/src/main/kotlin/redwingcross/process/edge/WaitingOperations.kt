package redwingcross.process.edge

import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.ChoiceRequest
import redwingcross.version.forwarding.ChooseBackend
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.ForwardTask
import kotlin.time.Duration

/** Chooses a back end for [task], which waits for one; null if this failed, so that the request has ended. */
internal fun ChooseBackend.forWaiting(task: ForwardTask): BackendChoice? {
    var choice: BackendChoice? = null
    task.job.exchange.guarded { choice = this(task.choiceRequest()) }
    return choice
}

/** What [GatewayTask] does with the requests that wait for a place, whoever decides about them. */
class WaitingOperations(
    val size: () -> Int,
    /**
     * Called before a back end is chosen for a request: sends those that come first. The result replaces the choice;
     * null to choose.
     */
    val beforeChoice: (ChoiceRequest) -> BackendChoice?,
    /** Lets a task wait for a place; false if it has to be refused. */
    val add: (ForwardTask, isResuming: Boolean, deadline: Duration) -> Boolean,
    val remove: (ForwardTask) -> Unit,
    /** Records that a request is sent to a back end of a kind. */
    val sent: (kind: String) -> Unit,
    /** Records that a request at a back end of a kind has ended. */
    val placeFreed: (kind: String) -> Unit,
    /** Sends waiting requests to back ends that have places, and refuses those whose time has ended. */
    val serve: () -> Unit,
    val record: (ForwardOutcome) -> Unit,
    /** Delay after which a refused caller may come back; the job is null before the request was admitted. */
    val retryDelay: (ForwardJob?) -> Duration,
) {
    companion object {
        /** The decision of a gateway that knows only its own requests. */
        fun of(local: WaitingRequests) = WaitingOperations(
            size = local::size,
            beforeChoice = { null },
            add = local::add,
            remove = local::remove,
            sent = {},
            placeFreed = local::placeFreed,
            serve = local::serve,
            record = local::record,
            retryDelay = local::retryDelay,
        )
    }
}
