package redwingcross.bench.replay

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Chooses a group from the load that a gateway knows; -1 if it knows of no free place. */
internal typealias Choose = (inFlight: IntArray, random: Random) -> Int

/**
 * Replays arrivals at many gateways in virtual time. Each gateway knows its own requests exactly and the total of the
 * others as of the last report. A group serves [ReplayedLoad.slots] requests at a time in the order of arrival.
 */
internal class PlacementReplay(val load: ReplayedLoad, seed: Int, way: (PlacementReplay) -> ReplayedWay) {
    constructor(load: ReplayedLoad, seed: Int, choose: Choose) : this(load, seed, { ReplayedWay.of(it, choose) })

    private class Event(val at: Double, val order: Long, val action: () -> Unit)

    private class Request(val gateway: Int, val arrivedAt: Double) {
        var sends = 0
        var excluded = -1
        var begun = false
        var isWaiting = false
        var ended = false
        var avoidable = false
    }

    val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    var now = 0.0
        private set
    private val running = Array(load.groups) { LinkedHashSet<Request>() }
    private val waiting = Array(load.groups) { ArrayDeque<Request>() }
    private val arrivals = IntArray(load.groups)
    private val own = Array(load.gateways) { IntArray(load.groups) }
    private val ownReported = Array(load.gateways) { IntArray(load.groups) }
    private val lines = Array(load.gateways) { ArrayDeque<Request>() }
    private var total = IntArray(load.groups)
    private var reportedTotal = IntArray(load.groups)
    private val sent = IntArray(load.gateways)
    private var requests = 0
    private var inTime = 0
    private var wasted = 0
    private var completed = 0
    private var avoidable = 0

    /** Groups that gateways don't use because they know that they are lost. */
    val knownLost = HashSet<Int>()
    private val lost = HashSet<Int>()

    /** Requests at lost groups; their gateways don't know yet that they have to send them again. */
    private val stranded = ArrayList<Pair<Request, Int>>()

    private val way = way(this)

    fun run(): ReplayResult {
        at(0.0, ::arrive)
        at(0.0, ::report)
        if (load.lostGroups > 0) at(load.seconds / 2, ::loseGroups)
        if (load.wait > 0) at(CHECK_PERIOD, ::check)
        while (events.isNotEmpty()) {
            val next = events.poll()
            now = next.at
            if (now > load.seconds) break
            next.action()
        }
        val capacity = load.groups * load.slots / load.meanService * load.seconds
        val busiest = arrivals.max() * load.groups.toDouble() / arrivals.sum()
        return ReplayResult(
            requests,
            inTime,
            wasted,
            busiest,
            completed / capacity,
            avoidable,
            sent.sum() / load.seconds / load.gateways,
            sent.max() / load.seconds,
        )
    }

    fun at(time: Double, action: () -> Unit) {
        events += Event(time, order++, action)
    }

    /** Runs [action] at another node after the time that a datagram takes. */
    fun message(sender: Int, receiver: Int, action: () -> Unit) {
        if (sender == receiver) return action()
        sent[sender]++
        at(now + MINIMUM_DELAY + random.nextDouble() * DELAY_SPREAD, action)
    }

    /** Requests in flight at each group as far as [gateway] knows. */
    fun known(gateway: Int) = IntArray(load.groups) {
        if (it in knownLost) {
            UNUSABLE
        } else {
            own[gateway][it] + (reportedTotal[it] - ownReported[gateway][it]).coerceAtLeast(0)
        }
    }

    /** Requests of [gateway] in flight at each group. */
    fun own(gateway: Int): IntArray = own[gateway]

    fun exponential(mean: Double) = -mean * ln(1 - random.nextDouble())

    private fun arrive() {
        at(now + exponential(1 / load.peakRate), ::arrive)
        if (load.oscillation > 0 && random.nextDouble() * load.peakRate > load.rate(now)) return
        requests++
        place(Request(random.nextInt(load.gateways), now))
    }

    private fun place(request: Request) = way.place(
        ReplayedPlacement(request, request.gateway, request.excluded, request.isWaiting) { placed(request, it) },
    )

    private fun placed(request: Request, group: Int): Boolean {
        if (request.ended || group < 0 && request.isWaiting) return false
        if (request.isWaiting && now - request.arrivedAt > load.wait) {
            expire(request)
            return false
        }
        if (group >= 0) {
            if (request.isWaiting) lines[request.gateway].remove(request)
            request.isWaiting = false
            send(request, group)
            return true
        }
        if (now - request.arrivedAt < load.wait) {
            request.isWaiting = true
            lines[request.gateway].addLast(request)
            at(now + SLOT_IN_TRANSIT) { if (request.isWaiting && !request.ended) countAvoidable(request) }
        } else {
            countAvoidable(request)
            request.ended = true
            way.refused(request.gateway, request)
        }
        return false
    }

    /**
     * Counts a request that is refused, has to wait in the queue of a group, or waits at its gateway for longer than
     * [SLOT_IN_TRANSIT], although there are more free slots than waiting requests.
     */
    private fun countAvoidable(request: Request) {
        if (request.avoidable) return
        val free = running.indices.sumOf { if (it in lost) 0 else load.slots - running[it].size }
        if (free <= waiting.sumOf { it.size } + lines.sumOf { it.size }) return
        request.avoidable = true
        avoidable++
    }

    private fun send(request: Request, group: Int) {
        arrivals[group]++
        if (group in lost) {
            wasted++
            own[request.gateway][group]++
            stranded += request to group
            return
        }
        if (waiting[group].size >= load.queue) {
            wasted++
            way.freed(request.gateway)
            if (request.sends++ < load.resends) {
                request.excluded = group
                at(now + MINIMUM_DELAY + random.nextDouble() * DELAY_SPREAD) { place(request) }
            }
            return
        }
        own[request.gateway][group]++
        total[group]++
        if (running[group].size < load.slots) {
            start(request, group)
        } else {
            countAvoidable(request)
            waiting[group].addLast(request)
        }
    }

    private fun start(request: Request, group: Int) {
        if (!request.begun && now - request.arrivedAt <= IN_TIME) inTime++
        request.begun = true
        running[group].add(request)
        at(now + exponential(load.meanService)) { if (running[group].remove(request)) end(request.gateway, group) }
    }

    private fun end(gateway: Int, group: Int) {
        own[gateway][group]--
        total[group]--
        completed++
        waiting[group].removeFirstOrNull()?.let { start(it, group) }
        way.freed(gateway)
        serveLine(gateway)
    }

    /** Places the requests that wait at [gateway], until one finds no place. */
    fun serveLine(gateway: Int) {
        for (next in lines[gateway].toList()) {
            place(next)
            if (next.isWaiting) return
        }
    }

    private fun check() {
        at(now + CHECK_PERIOD, ::check)
        for (gateway in lines.indices) {
            val line = lines[gateway]
            while (line.isNotEmpty() && now - line.first().arrivedAt >= load.wait) {
                expire(line.first())
            }
            serveLine(gateway)
        }
    }

    private fun expire(request: Request) {
        lines[request.gateway].remove(request)
        request.ended = true
        way.refused(request.gateway, request)
        countAvoidable(request)
    }

    private fun loseGroups() {
        for (group in 0 until load.lostGroups) {
            lost += group
            stranded += (running[group] + waiting[group]).map { it to group }
            running[group].clear()
            waiting[group].clear()
            total[group] = 0
        }
        at(now + LOSS_KNOWN_AFTER) {
            knownLost += lost
            stranded.forEach { (request, group) -> own[request.gateway][group]-- }
            stranded.forEach { (request, _) -> place(request) }
        }
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

        /** Load of a group that gets no requests. */
        const val UNUSABLE = 1_000_000

        /** One-way time of a datagram: 0.2 to 1.4 ms, half of the round trips between gateways. */
        private const val MINIMUM_DELAY = 0.0002
        private const val DELAY_SPREAD = 0.0012

        /** Period in which a gateway serves its waiting requests without a place of its own. */
        private const val CHECK_PERIOD = 0.1

        /** Longer than a free slot takes to reach a request that waits for it, with the messages of an owner. */
        private const val SLOT_IN_TRANSIT = 0.01

        /** Time until all gateways know that a group is lost. */
        private const val LOSS_KNOWN_AFTER = 0.5

        /** The decision of the product. */
        fun placement(load: ReplayedLoad): Choose = ReplayedWay.placement(load)

        /** The former decision: the least loaded group of all. */
        fun leastLoaded(load: ReplayedLoad): Choose = { known, random ->
            known.indices.filter { known[it] < load.slots * load.groupLimit }
                .minByOrNull { known[it] + random.nextDouble() } ?: -1
        }
    }
}
