package redwingcross.bench.replay

import kotlin.math.PI
import kotlin.math.sin

/** The size and load of a replayed fleet. Times are virtual seconds. */
internal data class ReplayedLoad(
    val gateways: Int,
    val groups: Int,
    /** Requests offered in the mean, as a fraction of what the groups can serve. */
    val utilization: Double,
    val seconds: Double = 12.0,
    val slots: Int = 10,
    /** Requests that a group keeps waiting; it rejects further ones. */
    val queue: Int = 20,
    /** Time from one report of the load to the next; gateways know of each other what the last report said. */
    val reportPeriod: Double = 0.5,
    val reportDelay: Double = 0.1,
    val meanService: Double = 1.3,
    /** Amplitude of the oscillation of the offered load, as a fraction of its mean. */
    val oscillation: Double = 0.0,
    val oscillationPeriod: Double = 15.0,
    /** Groups that are lost in the middle of the run, with the requests at them. */
    val lostGroups: Int = 0,
    /** Requests in flight at a group, as a multiple of its slots, beyond which a gateway sends it no more. */
    val groupLimit: Double = 1.3,
    /** How long a request that finds no place waits at its gateway before it is refused. */
    val wait: Double = 0.0,
    /** How often a request is sent again after a group rejected it. */
    val resends: Int = 0,
) {
    /** Requests offered a second at [time]. */
    fun rate(time: Double): Double =
        utilization * groups * slots / meanService * (1 + oscillation * sin(2 * PI * time / oscillationPeriod))

    val peakRate: Double get() = utilization * groups * slots / meanService * (1 + oscillation)
}

/** What callers and groups saw. */
internal data class ReplayResult(
    val requests: Int,
    /** Requests that began within [PlacementReplay.IN_TIME] of their arrival. */
    val inTime: Int,
    /** Sends to a group that rejected them or was lost. */
    val wasted: Int,
    val busiestOverMean: Double,
    /** Requests that ended, as a fraction of what the groups can serve. */
    val goodput: Double,
    /** Requests that were refused or kept waiting although another group had a free slot. */
    val avoidable: Int,
    /** Messages sent for placement a second, in the mean of the nodes and by the busiest node. */
    val messagesPerNode: Double,
    val messagesAtBusiest: Double,
) {
    val inTimeShare get() = inTime.toDouble() / requests
    val wastedShare get() = wasted.toDouble() / requests
    val avoidableShare get() = avoidable.toDouble() / requests
}
