package redwingcross.version.admission

import redwingcross.request.Customer
import kotlin.time.Duration

/** A request that waits for a slot; [Task] identifies it. */
data class AdmissionRequest<Task>(
    val task: Task,
    val kind: BackendKind,
    /** Null for an anonymous caller. */
    val customer: Customer?,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Whether the request was sent before, so that refusing it would lose work. */
    val isResuming: Boolean,
    /** If it is sent later, the answer misses its objective. */
    val inTimeUntil: Duration,
    /** If it can't be sent before, it is refused, so that the caller has time for an attempt elsewhere. */
    val latestSend: Duration,
    /** Size of the body, which is kept while the request waits. */
    val bodyBytes: Int,
)

/** The waiting requests of one kind. */
data class KindQueue<Task>(
    /** Requests that can be in time and those that resume, in the order in which they are sent. */
    val inTime: List<AdmissionRequest<Task>> = emptyList(),
    /** Requests that can only be late, in the order in which they are sent. */
    val late: List<AdmissionRequest<Task>> = emptyList(),
    val shares: FairShares = FairShares(),
    /** Slots that went to requests that can be in time since the last one that went to a late request. */
    val sentSinceLate: Int = 0,
) {
    val size: Int get() = inTime.size + late.size

    val isEmpty: Boolean get() = inTime.isEmpty() && late.isEmpty()

    internal fun without(request: AdmissionRequest<Task>): KindQueue<Task> =
        copy(inTime = inTime - request, late = late - request)

    internal fun withInTime(request: AdmissionRequest<Task>) = copy(inTime = inTime.inserted(request, inTimeOrder))

    internal fun withLate(request: AdmissionRequest<Task>) = copy(late = late.inserted(request, lateOrder))

    internal companion object {
        val inTimeOrder: Comparator<AdmissionRequest<*>> =
            compareBy<AdmissionRequest<*>> { !it.isResuming }.thenBy { it.priority }.thenBy { it.inTimeUntil }
        val lateOrder: Comparator<AdmissionRequest<*>> =
            compareBy<AdmissionRequest<*>> { it.priority }.thenBy { it.latestSend }
    }
}

private fun <Task> List<AdmissionRequest<Task>>.inserted(
    request: AdmissionRequest<Task>,
    order: Comparator<AdmissionRequest<*>>,
): List<AdmissionRequest<Task>> {
    val position = indexOfFirst { order.compare(it, request) > 0 }
    return if (position < 0) this + request else subList(0, position) + request + subList(position, size)
}

/** What one gateway reported about a kind: its requests at back ends and those that wait. */
data class OwnDemand(val inFlight: Int, val waitingInTime: Int, val waitingLate: Int)

/** The requests of one gateway that wait for a slot. */
data class AdmissionState<Task>(
    val queues: Map<BackendKind, KindQueue<Task>> = emptyMap(),
    /** Requests of this gateway in flight by kind, from which on late requests wait. */
    val lateBounds: Map<BackendKind, Int> = emptyMap(),
    /** Number of waiting requests. */
    val size: Int = 0,
    /** Bytes of the bodies of the waiting requests. */
    val bodyBytes: Long = 0,
) {
    fun queue(kind: BackendKind): KindQueue<Task> = queues[kind] ?: KindQueue()

    internal fun with(kind: BackendKind, queue: KindQueue<Task>): AdmissionState<Task> =
        if (queue.isEmpty) copy(queues = queues - kind) else copy(queues = queues + (kind to queue))

    internal fun added(request: AdmissionRequest<Task>) =
        copy(size = size + 1, bodyBytes = bodyBytes + request.bodyBytes)

    internal fun removed(request: AdmissionRequest<Task>): AdmissionState<Task> =
        with(request.kind, queue(request.kind).without(request))
            .copy(size = size - 1, bodyBytes = bodyBytes - request.bodyBytes)
}
