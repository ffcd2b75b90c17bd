package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.Route
import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChooseBackend
import redwingcross.version.forwarding.EventRate
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.ForwardTask
import redwingcross.version.forwarding.MovingAverage
import redwingcross.version.forwarding.WaitingLine
import redwingcross.version.forwarding.WaitingRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import redwingcross.version.forwarding.retryDelay as spreadRetryDelay

/** The requests of this gateway that wait for a place, and the rates and times that decide how long one may wait. */
class WaitingRequests(
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val choose: ChooseBackend,
    private val random: Random,
) {
    private var line = WaitingLine<ForwardTask>()
    private val freedPlaces = HashMap<String, EventRate>()
    private val refusals = EventRate()
    private val responseTimes = HashMap<String, MovingAverage>()
    private var isServingScheduled = false

    val size: Int get() = line.waiting.size

    /** Lets [task] wait for a place; false if it has to be refused. */
    fun add(task: ForwardTask, isResuming: Boolean, deadline: Duration): Boolean {
        val now = clock.now()
        val job = task.job
        val objective = job.arrivedAt + timeBeforeSend(job.route)
        val until = WaitingLine.limit(now, objective, deadline, isResuming)
        val request = WaitingRequest(task, kindOf(job), job.priority, isResuming, until)
        line = line.with(request, freedPlaces[request.kind]?.perSecond(now), now) ?: return false
        return true
    }

    fun remove(task: ForwardTask) {
        line = line.without(task)
    }

    /** Records that a request at a back end of [kind] has ended. */
    fun placeFreed(kind: String) {
        freedPlaces.getOrPut(kind, ::EventRate).record(clock.now())
        if (line.waiting.isEmpty() || isServingScheduled) return
        isServingScheduled = true
        runLater(Duration.ZERO) {
            isServingScheduled = false
            serve()
        }
    }

    /** Sends waiting requests to back ends that have places, and refuses those whose time has ended. */
    fun serve() {
        for (request in line.expired(clock.now())) {
            remove(request.task)
            request.task.waitTimedOut()
        }
        val busyKinds = HashSet<String>()
        for (request in line.waiting) {
            if (request.kind !in busyKinds && !serve(request)) busyKinds += request.kind
        }
    }

    private fun serve(request: WaitingRequest<ForwardTask>): Boolean {
        val choice = choose.forWaiting(request.task) ?: return true
        if (choice !is BackendChoice.Chosen) return false
        remove(request.task)
        request.task.placeFreed()
        return true
    }

    /** Records the response time of a request that was served. */
    fun record(outcome: ForwardOutcome) {
        if (outcome.outcome != ForwardTask.SERVED || outcome.sends != 1) return
        val response = (outcome.firstEvent ?: outcome.total) - outcome.waited
        responseTimes.getOrPut(outcome.job.route.name, ::MovingAverage).record(response)
    }

    /** Delay after which the refused caller of [job] may come back; [job] is null before the request was admitted. */
    fun retryDelay(job: ForwardJob?): Duration {
        val now = clock.now()
        refusals.record(now)
        val places = job?.let { freedPlaces[kindOf(it)]?.perSecond(now) }
        return spreadRetryDelay(refusals.perSecond(now) ?: 0.0, places, random.nextDouble())
    }

    /** How long after its arrival a request of [route] can be sent and still be answered within its objective. */
    private fun timeBeforeSend(route: Route): Duration {
        val target = route.targetLatency ?: DEFAULT_TARGET
        return target - (responseTimes[route.name]?.mean ?: (target * EXPECTED_RESPONSE_FRACTION))
    }

    private fun kindOf(job: ForwardJob): String = job.request.generation?.model?.value ?: job.service.value

    private companion object {
        /** Objective of routes for which the operator states none. */
        val DEFAULT_TARGET = 300.milliseconds

        /** Part of the objective that a back end is expected to need before its response times were measured. */
        const val EXPECTED_RESPONSE_FRACTION = 0.5
    }
}
