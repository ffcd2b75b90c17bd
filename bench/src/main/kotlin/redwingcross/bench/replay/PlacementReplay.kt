package redwingcross.bench.replay

import redwingcross.version.forwarding.GroupCandidate
import redwingcross.version.forwarding.GroupPlacement
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** The size and load of a replayed fleet. */
internal data class ReplayedLoad(
    val gateways: Int,
    val groups: Int,
    /** Requests offered, as a fraction of what the groups can serve. */
    val utilization: Double,
    val seconds: Double = 12.0,
    val slots: Int = 10,
    /** Requests that a group keeps waiting; it rejects further ones. */
    val queue: Int = 20,
    /** Time from one report of the load to the next; gateways know of each other what the last report said. */
    val reportPeriod: Double = 0.5,
    val reportDelay: Double = 0.1,
    val meanService: Double = 1.3,
)

/** What callers and groups saw. */
internal data class ReplayResult(
    val requests: Int,
    /** Requests that began within [PlacementReplay.IN_TIME] of their arrival. */
    val inTime: Int,
    /** Requests sent to a group that rejected them. */
    val wasted: Int,
    val busiestOverMean: Double,
    /** Requests that ended, as a fraction of what the groups can serve. */
    val goodput: Double,
) {
    val inTimeShare get() = inTime.toDouble() / requests
    val wastedShare get() = wasted.toDouble() / requests
}

/** Chooses a group from the load that a gateway knows; -1 refuses the request. */
internal typealias Choose = (inFlight: IntArray, random: Random) -> Int

/**
 * Replays arrivals at many gateways in virtual time. Each gateway knows its own requests exactly and the total of the
 * others as of the last report. A group serves [ReplayedLoad.slots] requests at a time in the order of arrival.
 */
internal class PlacementReplay(private val load: ReplayedLoad, seed: Int, private val choose: Choose) {
    private class Event(val at: Double, val order: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private var now = 0.0
    private val running = IntArray(load.groups)
    private val waiting = Array(load.groups) { ArrayDeque<() -> Unit>() }
    private val arrivals = IntArray(load.groups)
    private val own = Array(load.gateways) { IntArray(load.groups) }
    private val ownReported = Array(load.gateways) { IntArray(load.groups) }
    private var total = IntArray(load.groups)
    private var reportedTotal = IntArray(load.groups)
    private var requests = 0
    private var inTime = 0
    private var wasted = 0
    private var completed = 0

    fun run(): ReplayResult {
        at(0.0, ::arrive)
        at(0.0, ::report)
        while (events.isNotEmpty()) {
            val next = events.poll()
            now = next.at
            if (now > load.seconds) break
            next.action()
        }
        val capacity = load.groups * load.slots / load.meanService * load.seconds
        val busiest = arrivals.max() * load.groups.toDouble() / arrivals.sum()
        return ReplayResult(requests, inTime, wasted, busiest, completed / capacity)
    }

    private fun at(time: Double, action: () -> Unit) {
        events += Event(time, order++, action)
    }

    private fun exponential(mean: Double) = -mean * ln(1 - random.nextDouble())

    private fun arrive() {
        val rate = load.utilization * load.groups * load.slots / load.meanService
        at(now + exponential(1 / rate), ::arrive)
        val gateway = random.nextInt(load.gateways)
        requests++
        val known = IntArray(load.groups) {
            own[gateway][it] + (reportedTotal[it] - ownReported[gateway][it]).coerceAtLeast(0)
        }
        val group = choose(known, random)
        if (group >= 0) send(gateway, group)
    }

    private fun send(gateway: Int, group: Int) {
        arrivals[group]++
        if (waiting[group].size >= load.queue) {
            wasted++
            return
        }
        own[gateway][group]++
        total[group]++
        val arrivedAt = now
        val start = {
            if (now - arrivedAt <= IN_TIME) inTime++
            running[group]++
            at(now + exponential(load.meanService)) { end(gateway, group) }
        }
        if (running[group] < load.slots) start() else waiting[group].addLast(start)
    }

    private fun end(gateway: Int, group: Int) {
        own[gateway][group]--
        total[group]--
        running[group]--
        completed++
        waiting[group].removeFirstOrNull()?.invoke()
    }

    private fun report() {
        at(now + load.reportPeriod, ::report)
        val snapshot = total.copyOf()
        val ownSnapshot = Array(load.gateways) { own[it].copyOf() }
        at(now + load.reportDelay) {
            reportedTotal = snapshot
            ownSnapshot.forEachIndexed { gateway, counts -> counts.copyInto(ownReported[gateway]) }
        }
    }

    companion object {
        /** A request that waits no longer at a group reaches its first event within the objective. */
        const val IN_TIME = 0.15

        /** The decision of the product. */
        fun placement(load: ReplayedLoad): Choose = { known, random ->
            val candidates = known.indices.filter {
                known[it] < load.slots * LIMIT
            }.map { GroupCandidate(it, known[it], 1.0) }
            GroupPlacement.choose(candidates, load.slots, load.gateways, random)?.group ?: -1
        }

        /** The former decision: the least loaded group of all. */
        fun leastLoaded(load: ReplayedLoad): Choose = { known, random ->
            known.indices.filter { known[it] < load.slots * LIMIT }.minByOrNull { known[it] + random.nextDouble() }
                ?: -1
        }

        /** Requests in flight at a group, as a multiple of its slots, beyond which a gateway sends it no more. */
        private const val LIMIT = 1.3
    }
}
