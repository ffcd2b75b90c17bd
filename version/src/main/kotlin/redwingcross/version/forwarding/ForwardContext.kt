package redwingcross.version.forwarding

import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.ResponseMatcher
import redwingcross.request.BackendServer
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.request.forward.OfferResult
import redwingcross.request.forward.Repeatability
import kotlin.time.Duration

/** Cancels an action that was to run later. */
fun interface CancelTimer {
    fun cancel()
}

/** Sends a request to a back end and gives the answer to the listener. */
typealias SendToBackend =
    (ChosenBackend, RequestHead, ByteArray, Repeatability, ResponseMatcher, ResponseListener) -> PendingExchange

/** What the tasks of requests share within a process. All functions run on the event loop. */
@Suppress("LongParameterList")
class ForwardContext(
    val clock: MonotonicClock,
    val codec: RequestCodec,
    val health: BackendHealth,
    val runLater: (Duration, () -> Unit) -> CancelTimer,
    val choose: ChooseBackend,
    val send: SendToBackend,
    /** A request is offered to a back end. */
    val offerStarted: (ChosenBackend, ForwardTask) -> Unit,
    /** The offer is over. */
    val offerReleased: (ChosenBackend, ForwardTask) -> Unit,
    /** How the offer ended; null if it was served. */
    val offerEnded: (ChosenBackend, OfferResult?) -> Unit,
    /** Takes one repetition out of the retry budget of a service. */
    val tryAcquireRetry: (ServiceName) -> Boolean,
    /** When a refused caller may come back. */
    val retryAfter: (ForwardJob) -> Duration,
    val coldReported: (BackendServer, Duration) -> Unit,
    val faultReported: (ChosenBackend, BackendServer) -> Unit,
    val finished: (ForwardTask, ForwardOutcome) -> Unit,
    val log: (event: String, pairs: Array<Pair<String, Any?>>) -> Unit,
)
