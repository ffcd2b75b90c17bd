package redwingcross.version.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Name of a model or of a plain service: the back ends of one kind can replace each other. */
@JvmInline
value class BackendKind(val name: String) {
    override fun toString(): String = name
}

/** Demand for the back ends of one kind, summed over all gateways. */
data class KindDemand(
    /** Requests that all open groups or back ends of the kind serve at the same time. */
    val slots: Int,
    /** Requests in flight at back ends of the kind. */
    val slotsInUse: Int,
    /** Waiting requests that can still be answered within their objective. */
    val waitingInTime: Int,
    /** Waiting requests that can only be answered late. */
    val waitingLate: Int,
    /** Requests that ended at a back end, per second. */
    val freedPerSecond: Double,
    /** Requests that gateways refused, per second. */
    val refusedPerSecond: Double,
) {
    /** Slots that remain if every waiting request that can be in time gets one. */
    val spareSlots: Int get() = slots - slotsInUse - waitingInTime

    /** Slots that no request uses. */
    val freeSlots: Int get() = (slots - slotsInUse).coerceAtLeast(0)

    /**
     * Slots that come free per second from now on. Where groups have just opened, many slots are in use before the
     * first one is freed; their requests will free them after a usual response time.
     */
    val expectedFreedPerSecond: Double get() = maxOf(freedPerSecond, slotsInUse / (USUAL_RESPONSE / 1.seconds))

    private companion object {
        /** Streams take 1 to 2 s where groups aren't slow; a shorter time would hold requests that can't be served. */
        val USUAL_RESPONSE = 2.seconds
    }
}

/** The demand by kind as known at [takenAt], a reading of the local clock for the oldest input. */
data class DemandView(val kinds: Map<BackendKind, KindDemand>, val takenAt: Duration) {
    fun age(now: Duration): Duration = now - takenAt

    fun isValid(now: Duration): Boolean = age(now) < VALIDITY

    companion object {
        /** The time after which a process without digests takes the controller for lost. */
        val VALIDITY = 2.3.seconds
    }
}
