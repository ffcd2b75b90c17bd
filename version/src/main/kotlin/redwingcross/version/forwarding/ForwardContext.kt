package redwingcross.version.forwarding

import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.ResponseMatcher
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.request.forward.ForwardDecision
import redwingcross.request.forward.ForwardState
import redwingcross.request.forward.OfferResult
import redwingcross.request.forward.Repeatability
import kotlin.time.Duration

/** Cancels a scheduled action. */
fun interface CancelTimer {
    fun cancel()
}

/** Sends a request to a back end and delivers the response to the listener. */
typealias SendToBackend =
    (ChosenBackend, RequestHead, ByteArray, Repeatability, ResponseMatcher, ResponseListener) -> PendingExchange

/** Decides whether a request leaves a back end that is silent or whose group was reported as lost. */
class MoveAdmission(
    /** Whether the retry budget of a service has a retry left; takes nothing. */
    val hasRetry: (ServiceName) -> Boolean,
    /** Another back end that has a place for a request now and isn't silent itself; null if there is none. */
    val choose: (ChoiceRequest) -> ChosenBackend?,
    /** Called when a request for which a place was asked stays at its back end. */
    val stayed: (ForwardTask) -> Unit = {},
)

/** Dependencies that all [ForwardTask]s of a process share. All functions run on the event loop. */
@Suppress("LongParameterList")
class ForwardContext(
    val clock: MonotonicClock,
    val codec: RequestCodec,
    val health: BackendHealth,
    val runLater: (Duration, () -> Unit) -> CancelTimer,
    val choose: ChooseBackend,
    /** Called before a back end is chosen for a request; runs the action once it is to be chosen. */
    val beforeChoice: (ForwardTask, () -> Unit) -> Unit = { _, choose -> choose() },
    val send: SendToBackend,
    /**
     * Lets a request wait for a place at a back end; false if it has to be refused. Later the task is told to offer
     * itself again, or that its time has ended.
     */
    val awaitPlace: (ForwardTask, isResuming: Boolean, deadline: Duration) -> Boolean,
    /** Called when a request no longer waits. */
    val waitEnded: (ForwardTask) -> Unit,
    /** Called when a request is about to be sent to a back end. */
    val offerStarted: (ChosenBackend, ForwardTask) -> Unit,
    /** Called when the request is no longer in flight at the back end. */
    val offerReleased: (ChosenBackend, ForwardTask) -> Unit,
    /** Called with the reason for which the back end did not serve the request; null if it did. */
    val offerEnded: (ChosenBackend, OfferResult?) -> Unit,
    /** Takes one retry from the retry budget of a service; false if the budget is used up. */
    val tryAcquireRetry: (ServiceName) -> Boolean,
    val moves: MoveAdmission,
    /** Delay after which a refused caller may retry. */
    val retryAfter: (ForwardJob) -> Duration,
    /** Called when a back end reported for how long it will remain cold. */
    val coldReported: (BackendServer, Duration) -> Unit,
    /** Called when a back end reported an engine that stalled its work. */
    val faultReported: (ChosenBackend, BackendServer) -> Unit,
    val crashes: CrashSignals,
    val shutdown: ShutdownAdmission,
    val finished: (ForwardTask, ForwardOutcome) -> Unit,
    /** Called for each event of a stream, with the time since the event before it or since the request was sent. */
    val progressed: (ChosenBackend, pause: Duration, isFirst: Boolean) -> Unit,
    val log: (event: String, pairs: Array<Pair<String, Any?>>) -> Unit,
    /** Called when a back end's response shows that it began to run the request, once for each back end. */
    val runBegan: (ForwardJob) -> Unit = {},
) {
    /**
     * Why a request must not be sent now; null if it may be. At the end of the process, one that may have run
     * ([isResuming]) can't be refused truthfully, so it is sent once more.
     */
    fun reasonNotToSend(job: ForwardJob, isResuming: Boolean): String? {
        val canComplete = isResuming || shutdown.canComplete(job.route, job.deadline, clock.now())
        return crashes.blockReason(job.identity) ?: ForwardTask.STOPPING.takeUnless { canComplete }
    }

    /** Delay after which the caller of [job], which is refused for [reason] while all back ends pause, may retry. */
    fun retryDelay(job: ForwardJob, reason: String, backendPause: Duration?): Duration = when (reason) {
        CrashSignals.BLOCKED_PART, CrashSignals.BLOCKED_REQUEST -> CrashSignals.BLOCKED_RETRY_DELAY
        // The other processes can serve the request now.
        ForwardTask.STOPPING -> Duration.ZERO
        // Callers that come back within the pause of all back ends would be refused again.
        else -> retryAfter(job) + (backendPause ?: Duration.ZERO)
    }

    /** Why a request at a back end would not be sent again now if that one ended it; null if it would be. */
    fun reasonToStay(state: ForwardState, job: ForwardJob): String? = when {
        !ForwardDecision.canRedispatch(state) -> "not_repeatable"
        !moves.hasRetry(job.service) -> "no_retry"
        else -> crashes.blockReason(job.identity)
    }
}
