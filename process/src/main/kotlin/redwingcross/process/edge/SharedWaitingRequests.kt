package redwingcross.process.edge

import redwingcross.request.MonotonicClock
import redwingcross.request.Transition
import redwingcross.version.admission.AdmissionDecision
import redwingcross.version.admission.AdmissionEffect
import redwingcross.version.admission.AdmissionRequest
import redwingcross.version.admission.AdmissionState
import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import redwingcross.version.admission.OwnDemand
import redwingcross.version.admission.ResponseTimes
import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChoiceRequest
import redwingcross.version.forwarding.ChooseBackend
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.ForwardTask
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The requests of this gateway that wait for a slot, where gateways share what they know of the demand. Carries out
 * [AdmissionDecision]; while the demand of a kind isn't known, [local] decides about new requests of the kind.
 */
class SharedWaitingRequests(
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val choose: ChooseBackend,
    private val random: Random,
    private val local: WaitingRequests,
) {
    private class Counts {
        var inFlight = 0
        var freed = 0
        var refused = 0
        var reported = OwnDemand(0, 0, 0)
    }

    private var state = AdmissionState<ForwardTask>()
    private var view: DemandView? = null
    private val responseTimes = ResponseTimes()
    private val counts = HashMap<BackendKind, Counts>()
    private val names = HashMap<BackendKind, CompactName>()
    private var isServingScheduled = false
    private var isServing = false

    /** The operations of this object for [GatewayTask]. */
    val operations = WaitingOperations(
        size = { state.size + local.size },
        beforeChoice = ::beforeChoice,
        add = ::add,
        remove = ::remove,
        sent = { kind -> countsOf(BackendKind(kind)).inFlight++ },
        placeFreed = ::placeFreed,
        serve = ::serve,
        record = ::record,
        retryDelay = ::retryDelay,
    )

    /** Number of waiting requests that can only be answered late. */
    val lateSize: Int get() = state.queues.values.sumOf { it.late.size }

    private fun countsOf(kind: BackendKind) = counts.getOrPut(kind, ::Counts)

    private fun demand(kind: BackendKind, now: Duration): KindDemand? =
        view?.takeIf { it.isValid(now) }?.kinds?.get(kind)

    /**
     * A request that just arrived doesn't overtake those that can be in time: it is sent only if there are slots left
     * after them. One that resumes may use more of a group's slots than others.
     */
    private fun beforeChoice(request: ChoiceRequest): BackendChoice? {
        val kind = BackendKind(request.model?.value ?: request.service.value)
        if (isServing || request.isResuming || state.queues[kind]?.inTime.isNullOrEmpty()) return null
        return if (serve(kind)) null else BackendChoice.AllBusy
    }

    private fun add(task: ForwardTask, isResuming: Boolean, deadline: Duration): Boolean {
        val now = clock.now()
        val job = task.job
        val kind = kindOf(job)
        val demand = demand(kind, now) ?: return local.add(task, isResuming, deadline)
        val times = responseTimes.limits(job.route, job.arrivedAt, deadline, isResuming, now)
        val request = AdmissionRequest(
            task,
            kind,
            job.customer,
            job.priority,
            isResuming,
            times.inTimeUntil,
            times.latestSend,
            job.exchange.body.size,
        )
        val step = AdmissionDecision.arrived(state, request, demand, now)
        state = step.state
        val (own, displaced) = step.effects.filterIsInstance<AdmissionEffect.Refuse<ForwardTask>>()
            .partition { it.request.task === task }
        displaced.forEach { it.request.task.waitTimedOut() }
        return own.isEmpty()
    }

    private fun remove(task: ForwardTask) {
        state = AdmissionDecision.withdrawn(state, task)
        local.remove(task)
    }

    private fun placeFreed(kind: String) {
        val counts = countsOf(BackendKind(kind))
        counts.inFlight--
        counts.freed++
        local.placeFreed(kind)
        if (state.size == 0 || isServingScheduled) return
        isServingScheduled = true
        runLater(Duration.ZERO) {
            isServingScheduled = false
            serve()
        }
    }

    /** Takes over a new view of the demand and serves what it allows. */
    fun demandChanged(next: DemandView) {
        view = next
        for ((kind, demand) in next.kinds) {
            val own = countsOf(kind).reported
            state = AdmissionDecision.demandChanged(state, kind, demand, own, random.nextDouble())
        }
        serve()
    }

    private fun serve() {
        if (state.size > 0) {
            refuseEnded()
            state.queues.keys.toList().forEach(::serve)
        }
        local.serve()
    }

    /** Sends waiting requests of [kind]; false if no back end has a slot for them. */
    private fun serve(kind: BackendKind): Boolean {
        isServing = true
        return try {
            serveWhilePossible(kind)
        } finally {
            isServing = false
        }
    }

    private fun serveWhilePossible(kind: BackendKind): Boolean {
        val unsuitable = HashSet<ForwardTask>()
        var left = state.queue(kind).size
        while (left-- > 0) {
            val now = clock.now()
            val isBounded = demand(kind, now) != null
            val next =
                AdmissionDecision.next(state, kind, countsOf(kind).inFlight, isBounded, now, unsuitable) ?: break
            val choice = choose.forWaiting(next.task)
            if (choice is BackendChoice.Chosen) {
                state = AdmissionDecision.sent(state, next)
                next.task.placeFreed()
            } else if (choice != null && next.task.choiceRequest().excluded.isEmpty()) {
                return false
            } else {
                unsuitable += next.task
            }
        }
        return true
    }

    private fun refuseEnded() {
        val step: Transition<AdmissionState<ForwardTask>, AdmissionEffect<ForwardTask>> =
            AdmissionDecision.timePassed(state, clock.now())
        state = step.state
        for (effect in step.effects) {
            if (effect is AdmissionEffect.Refuse) effect.request.task.waitTimedOut()
        }
    }

    private fun record(outcome: ForwardOutcome) {
        local.record(outcome)
        if (outcome.outcome == ForwardTask.SERVED && outcome.sends == 1) {
            val total = outcome.total - outcome.waited
            responseTimes.record(outcome.job.route, outcome.firstEvent?.let { it - outcome.waited } ?: total, total)
        }
    }

    private fun retryDelay(job: ForwardJob?): Duration {
        val localDelay = local.retryDelay(job)
        if (job == null) return localDelay
        val now = clock.now()
        val kind = kindOf(job)
        countsOf(kind).refused++
        val demand = demand(kind, now) ?: return localDelay
        return AdmissionDecision.retryDelay(demand, job.deadline - now, random.nextDouble())
    }

    /** The demand for the next heartbeat; null if there is nothing to report. */
    fun report(): ByteArray? {
        if (counts.isEmpty()) return null
        refuseEnded()
        val reported = counts.entries.associate { (kind, count) ->
            val queue = state.queue(kind)
            count.reported = OwnDemand(count.inFlight, queue.inTime.size, queue.late.size)
            val freed = count.freed
            val refused = count.refused
            count.freed = 0
            count.refused = 0
            names.getOrPut(kind) { CompactName.of(kind.name) } to
                KindCounts(queue.inTime.size, queue.late.size, freed, refused)
        }
        return DemandCounts.toBytes(reported)
    }

    private fun kindOf(job: ForwardJob) = BackendKind(job.request.generation?.model?.value ?: job.service.value)
}
