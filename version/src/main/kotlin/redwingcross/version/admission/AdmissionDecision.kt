package redwingcross.version.admission

import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the owner of an [AdmissionState] has to do. */
sealed interface AdmissionEffect<out Task> {
    /** Refuses a request; nothing of it was sent, unless it is one that resumes. */
    data class Refuse<Task>(val request: AdmissionRequest<Task>) : AdmissionEffect<Task>
}

/**
 * Decides which requests of a gateway wait for a slot, in which order they are sent and which are refused.
 *
 * Answers a peak of the load beyond the capacity of the whole fleet, in which each gateway sees only a few requests a
 * second: an estimate from its own freed slots comes too late, requests are refused that the fleet can still answer
 * before their deadline, and requests that can only be late take the slots of those that can be in time. The decision
 * therefore uses the demand of the whole fleet, sends late requests only to slots that no request needs that can be in
 * time, and refuses at once what the fleet can't answer before its deadline.
 */
object AdmissionDecision {
    /** Lets [request] wait or refuses it. [demand] is the demand for its kind; null if it isn't known. */
    fun <Task> arrived(
        state: AdmissionState<Task>,
        request: AdmissionRequest<Task>,
        demand: KindDemand?,
        now: Duration,
    ): Transition<AdmissionState<Task>, AdmissionEffect<Task>> {
        val isTooLate = !request.isResuming && expectedWait(state, request, demand, now) > request.latestSend - now
        if (isTooLate || request.latestSend <= now) return state.with(AdmissionEffect.Refuse(request))
        if (hasRoom(state, request)) return Transition(inserted(state, request, now))
        val displaced = state.queues.values.mapNotNull { it.late.lastOrNull() }.maxByOrNull { it.latestSend }
        val isMoreUrgent = displaced != null && isInTime(request, now) && hasRoom(state.removed(displaced), request)
        if (displaced == null || !isMoreUrgent) return state.with(AdmissionEffect.Refuse(request))
        return inserted(state.removed(displaced), request, now).with(AdmissionEffect.Refuse(displaced))
    }

    private fun isInTime(request: AdmissionRequest<*>, now: Duration) = request.isResuming || now < request.inTimeUntil

    private fun hasRoom(state: AdmissionState<*>, request: AdmissionRequest<*>) =
        state.size < CAPACITY && state.bodyBytes + request.bodyBytes <= MAXIMUM_BODY_BYTES

    private fun <Task> inserted(state: AdmissionState<Task>, request: AdmissionRequest<Task>, now: Duration) =
        state.added(request).with(request.kind, state.queue(request.kind).with(request, now))

    private fun <Task> KindQueue<Task>.with(request: AdmissionRequest<Task>, now: Duration): KindQueue<Task> {
        val waiting = (inTime + late).mapTo(HashSet()) { it.customer }
        val joined = copy(shares = shares.retain(waiting).joined(request.customer))
        return if (isInTime(request, now)) joined.withInTime(request) else joined.withLate(request)
    }

    /**
     * Time until the freed slots of the fleet reach [request]. The late requests of the other gateways are assumed to
     * have the same deadlines as those of this one.
     */
    private fun expectedWait(
        state: AdmissionState<*>,
        request: AdmissionRequest<*>,
        demand: KindDemand?,
        now: Duration,
    ): Duration {
        val freed = demand?.expectedFreedPerSecond ?: 0.0
        if (demand == null || freed <= 0) return Duration.ZERO
        val ownLate = state.queue(request.kind).late
        val isBeforeNone = ownLate.isEmpty() || isInTime(request, now)
        val lateAhead = if (isBeforeNone) {
            1.0
        } else {
            ownLate.count { KindQueue.lateOrder.compare(it, request) <= 0 }.toDouble() / ownLate.size
        }
        val ahead = demand.waitingInTime + demand.waitingLate * lateAhead - demand.freeSlots
        return (ahead / freed).coerceAtLeast(0.0).seconds
    }

    /** Moves requests that can no longer be in time to the late ones, and refuses those that can't be answered. */
    fun <Task> timePassed(
        state: AdmissionState<Task>,
        now: Duration,
    ): Transition<AdmissionState<Task>, AdmissionEffect<Task>> {
        var next = state
        val ended = mutableListOf<AdmissionRequest<Task>>()
        for ((kind, queue) in state.queues) {
            ended += (queue.inTime + queue.late).filter { it.latestSend <= now }
            val nowLate = queue.inTime.filter { !isInTime(it, now) }
            if (nowLate.isEmpty()) continue
            val rest = queue.copy(inTime = queue.inTime - nowLate.toSet())
            next = next.with(kind, nowLate.fold(rest) { changed, request -> changed.withLate(request) })
        }
        ended.forEach { next = next.removed(it) }
        return Transition(next, ended.map { AdmissionEffect.Refuse(it) })
    }

    /**
     * Renews the bound of the late requests from a new view of the [demand]; [own] is what this gateway reported for
     * it. The late requests of the fleet share the slots that are left when all waiting requests that can be in time
     * have theirs. While none of those wait anywhere, late requests also take the slots that requests of their gateway
     * free. [random], from 0 until 1, rounds the parts of many gateways so that their sum is right.
     */
    fun <Task> demandChanged(
        state: AdmissionState<Task>,
        kind: BackendKind,
        demand: KindDemand,
        own: OwnDemand,
        random: Double,
    ): AdmissionState<Task> {
        val part = own.waitingLate.toDouble() / maxOf(demand.waitingLate, own.waitingLate, 1)
        val reusable = if (demand.waitingInTime > 0) 0 else own.inFlight
        val bound = reusable + (demand.spareSlots.coerceAtLeast(0) * part + random).toInt()
        return state.copy(lateBounds = state.lateBounds + (kind to bound))
    }

    /**
     * The request of [kind] that gets the next slot; null if none may have it. [inFlight] is the number of requests of
     * this gateway at back ends of the kind. Without [isBounded], late requests take any slot: the demand of the fleet
     * isn't known, and a slot that is free would be lost. Requests in [skipped] can't be sent to the back ends that
     * have slots.
     *
     * A late request near the end of its time may be sent beyond the bound, and gets every fourth slot also while
     * requests of this gateway can be in time: one that is refused while a slot is free needs a slot again when its
     * caller returns, and is never answered if none is free then.
     */
    fun <Task> next(
        state: AdmissionState<Task>,
        kind: BackendKind,
        inFlight: Int,
        isBounded: Boolean,
        now: Duration,
        skipped: Set<Task> = emptySet(),
    ): AdmissionRequest<Task>? {
        val queue = state.queues[kind] ?: return null
        val late = queue.late.filter { it.task !in skipped }
        val ending = late.find { now >= it.latestSend - lastPart(it) }
        val inTime = fairest(queue.inTime.filter { it.task !in skipped }, queue.shares)
        val isTurnOfLate = queue.sentSinceLate >= SENT_BEFORE_LATE && inTime?.isResuming != true
        val isAllowed = !isBounded || inFlight < (state.lateBounds[kind] ?: 0)
        return when {
            ending != null && isTurnOfLate -> ending
            inTime != null -> inTime
            isAllowed -> fairest(late, queue.shares)
            else -> ending
        }
    }

    private fun lastPart(request: AdmissionRequest<*>) =
        maxOf((request.latestSend - request.inTimeUntil) * LAST_PART, SHORTEST_LAST_PART)

    /** The first request of the customer that got the fewest slots, among the requests of the most urgent priority. */
    private fun <Task> fairest(requests: List<AdmissionRequest<Task>>, shares: FairShares): AdmissionRequest<Task>? {
        val first = requests.firstOrNull() ?: return null
        if (first.isResuming) return first
        return requests.takeWhile { it.priority == first.priority }.minBy { shares.grants(it.customer) }
    }

    /** Records that [request] got a slot. */
    fun <Task> sent(state: AdmissionState<Task>, request: AdmissionRequest<Task>): AdmissionState<Task> {
        val queue = state.queue(request.kind)
        val isLate = queue.late.any { it.task == request.task }
        val counted = queue.copy(
            shares = queue.shares.granted(request.customer),
            sentSinceLate = if (isLate) 0 else queue.sentSinceLate + 1,
        )
        return state.with(request.kind, counted).removed(request)
    }

    /** Removes the request of [task], which no longer waits. */
    fun <Task> withdrawn(state: AdmissionState<Task>, task: Task): AdmissionState<Task> {
        if (state.size == 0) return state
        for (queue in state.queues.values) {
            val found = queue.inTime.find { it.task == task } ?: queue.late.find { it.task == task } ?: continue
            return state.removed(found)
        }
        return state
    }

    /**
     * Delay after which a refused caller may come back: the time in which the freed slots of the fleet reach the
     * requests that wait, and then a random part of the time in which they reach the callers that are refused now, so
     * that these don't return together. [random] is from 0 until 1.
     */
    fun retryDelay(demand: KindDemand, timeLeft: Duration, random: Double): Duration {
        val freed = demand.expectedFreedPerSecond.coerceAtLeast(1.0)
        val queued = ((demand.waitingInTime - demand.freeSlots).coerceAtLeast(0) / freed).seconds
        val spread = maxOf(MINIMUM_RETRY_SPREAD, (demand.refusedPerSecond / freed).seconds)
        val delay = RETRY_DELAY_BASE + queued + spread * random
        val longest = timeLeft / HONOURED_PART_OF_TIME_LEFT
        // Delays beyond the longest one are spread below it; cut off at it, these callers would return together.
        return if (delay <= longest) delay else minOf(delay, longest * (1 - RETRY_JITTER * random))
    }

    /** Bounds the memory and the time to look through the queue. */
    const val CAPACITY = 256

    /** Bound of the bodies that wait; the smallest VMs have 282 MB for everything. */
    const val MAXIMUM_BODY_BYTES = 8L shl 20

    /**
     * Last part of the time of a late request, to which the bound does not apply. On the replay, shorter parts leave
     * more requests without an answer, longer ones leave fewer in time.
     */
    private const val LAST_PART = 0.25

    /**
     * Requests in time that are sent before a late one near the end of its time. On the replay with 8 gateways, each of
     * which has requests in time at any moment, 0.996 of the requests were answered without this rule.
     */
    private const val SENT_BEFORE_LATE = 3

    /** Longer than the interval between two looks at the queue, so that each late request is offered once more. */
    private val SHORTEST_LAST_PART = 150.milliseconds

    /** Callers honour a stated delay up to this part of their remaining time. */
    private const val HONOURED_PART_OF_TIME_LEFT = 3
    private const val RETRY_JITTER = 0.5
    private val RETRY_DELAY_BASE = 250.milliseconds
    private val MINIMUM_RETRY_SPREAD = 350.milliseconds
}
