package redwingcross.bench.replay

import redwingcross.version.admission.BackendKind
import redwingcross.version.admission.DemandView
import redwingcross.version.admission.KindDemand
import redwingcross.version.forwarding.GroupCandidate
import redwingcross.version.forwarding.GroupPlacement
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.sin
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller's request; [arrivedAt] and [deadline] are those of the attempt that the gateway sees. */
internal data class ReplayedRequest(
    val number: Int,
    val firstArrivedAt: Duration,
    val arrivedAt: Duration,
    val deadline: Duration,
)

/** What a replayed gateway does about the requests of its callers. */
internal class ReplayedAdmission(
    val arrived: (ReplayedRequest, now: Duration) -> Unit,
    val slotFreed: (now: Duration) -> Unit,
    /** Called several times a second. */
    val checked: (now: Duration) -> Unit,
    /** Called with a view of the demand, null if it was lost; what the gateway knows of the groups is new as well. */
    val demandChanged: (DemandView?, now: Duration) -> Unit,
    /** Waiting requests in time and late, freed slots and refusals since the last call. */
    val report: (now: Duration) -> IntArray = { IntArray(REPORTED) },
) {
    companion object {
        const val REPORTED = 4
    }
}

/** Creates the decision of one gateway. */
internal typealias AdmitAtGateway = (ReplayedActions) -> ReplayedAdmission

/** Actions of a replayed gateway. */
internal class ReplayedActions(
    /** Sends a request to a group that has a slot as far as the gateway knows; false if none has. */
    val trySend: (ReplayedRequest, Duration) -> Boolean,
    /** Refuses a request with the delay after which its caller may come back. */
    val refuse: (ReplayedRequest, delay: Duration, now: Duration) -> Unit,
    /** Requests of this gateway in flight. */
    val inFlight: () -> Int,
    val random: Random,
)

internal data class ReplayedPeak(
    val gateways: Int,
    val seed: Int,
    /** Mean load, as a fraction of the capacity of all groups. */
    val meanLoad: Double = 0.75,
    val length: Duration = 34.seconds,
    /**
     * Whether gateways know the load of the groups, as even placement aims at. Otherwise it is as old as the last
     * report, so that all gateways together send more requests to a group than it has slots.
     */
    val isLoadKnown: Boolean = true,
    /** Replaces the view that a gateway gets; null is a view that is lost. */
    val receivedView: (gateway: Int, DemandView, now: Duration) -> DemandView? = { _, view, _ -> view },
)

internal class ReplayedCallers(val requests: Int, val inTime: Int, val late: Int, val refusedWithFreeSlot: Int) {
    val served get() = (inTime + late).toDouble() / requests
    val inTimeShare get() = inTime.toDouble() / requests

    /** Mean value of a request: an answer in time counts 1 and a late one a quarter, as for the large model. */
    val value get() = (inTime + late / 4.0) / requests

    override fun toString() = "requests=$requests in_time=%.3f served=%.4f value=%.3f refused_with_free_slot=%.4f"
        .format(inTimeShare, served, value, refusedWithFreeSlot.toDouble() / requests)
}

/**
 * Replays a load that oscillates by 55% in 15 s at a fleet of gateways, whose information about groups and demand is
 * as old as digests make it, and of which two of eleven groups are lost at the first peak.
 */
internal class AdmissionReplay(private val peak: ReplayedPeak, admission: (ReplayedActions) -> ReplayedAdmission) {
    private class Event(val at: Duration, val order: Int, val action: () -> Unit)

    private val random = Random(peak.seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0
    private var now = Duration.ZERO
    private var openGroups = GROUPS
    private val running = IntArray(GROUPS)
    private val queued = Array(GROUPS) { ArrayDeque<() -> Unit>() }
    private val own = Array(peak.gateways) { IntArray(GROUPS) }
    private val ownReported = Array(peak.gateways) { IntArray(GROUPS) }
    private val total = IntArray(GROUPS)
    private var reported = IntArray(GROUPS)
    private var requests = 0
    private var inTime = 0
    private var late = 0
    private val refusedWithFreeSlot = HashSet<Int>()
    private val rates = ArrayDeque<IntArray>()
    private val digestPeriod = when {
        peak.gateways <= 12 -> 250.milliseconds
        peak.gateways <= 150 -> 500.milliseconds
        else -> 1.seconds
    }
    private val gateways = (0 until peak.gateways).map { gateway ->
        admission(
            ReplayedActions({ request, at ->
                trySend(gateway, request, at)
            }, ::refused, { own[gateway].sum() }, random),
        )
    }

    fun run(): ReplayedCallers {
        at(Duration.ZERO, ::arrive)
        at(Duration.ZERO, ::report)
        at(LOSS_AT) { openGroups = GROUPS - LOST_GROUPS }
        gateways.forEach { gateway -> at(CHECK_PERIOD * random.nextDouble()) { check(gateway) } }
        while (events.isNotEmpty()) {
            val next = events.poll()
            now = next.at
            if (now > peak.length + DEADLINE) break
            next.action()
        }
        return ReplayedCallers(requests, inTime, late, refusedWithFreeSlot.size)
    }

    private fun at(time: Duration, action: () -> Unit) {
        events += Event(time, order++, action)
    }

    private fun check(gateway: ReplayedAdmission) {
        gateway.checked(now)
        at(now + CHECK_PERIOD) { check(gateway) }
    }

    private fun arrive() {
        if (now > peak.length) return
        val rate = peak.meanLoad * GROUPS * SLOTS / MEAN_SERVICE * (1 + OSCILLATION * sin(2 * PI * (now / PERIOD)))
        at(now + (-ln(1 - random.nextDouble()) / rate).seconds, ::arrive)
        gateways.random(random).arrived(ReplayedRequest(requests++, now, now, now + DEADLINE), now)
    }

    private fun trySend(gateway: Int, request: ReplayedRequest, at: Duration): Boolean {
        val candidates = (0 until openGroups).mapNotNull { group ->
            val known = knownLoad(gateway, group)
            if (known < SLOTS) GroupCandidate(group, known, 1.0) else null
        }
        val group = GroupPlacement.choose(candidates, SLOTS, peak.gateways, random)?.group ?: return false
        own[gateway][group]++
        total[group]++
        val start = {
            running[group]++
            val first = now + FIRST_EVENT
            val end = now + (MEAN_SERVICE * (0.7 + 0.6 * random.nextDouble())).seconds
            if (end <= request.deadline) if (first - request.firstArrivedAt <= OBJECTIVE) inTime++ else late++
            at(minOf(end, request.deadline)) { ended(gateway, group) }
        }
        if (running[group] < SLOTS) start() else queued[group].addLast { if (now < request.deadline) start() }
        return true
    }

    private fun knownLoad(gateway: Int, group: Int) = if (peak.isLoadKnown) {
        total[group]
    } else {
        own[gateway][group] + (reported[group] - ownReported[gateway][group]).coerceAtLeast(0)
    }

    private fun ended(gateway: Int, group: Int) {
        own[gateway][group]--
        total[group]--
        running[group]--
        queued[group].removeFirstOrNull()?.invoke()
        gateways[gateway].slotFreed(now)
    }

    private fun refused(request: ReplayedRequest, delay: Duration, at: Duration) {
        if ((0 until openGroups).any { running[it] < SLOTS }) refusedWithFreeSlot += request.number
        val left = request.deadline - now
        val back = now + minOf(delay, left / 3)
        if (left > FIRST_EVENT) at(back) { gateways.random(random).arrived(request.copy(arrivedAt = now), now) }
    }

    private fun report() {
        if (now > peak.length + DEADLINE) return
        at(now + digestPeriod, ::report)
        val snapshot = total.copyOf()
        val ownSnapshot = Array(peak.gateways) { own[it].copyOf() }
        val sums = IntArray(ReplayedAdmission.REPORTED)
        gateways.forEach { gateway -> gateway.report(now).forEachIndexed { index, count -> sums[index] += count } }
        rates.addLast(sums)
        while (digestPeriod * rates.size > RATE_WINDOW) rates.removeFirst()
        val span = digestPeriod * rates.size / 1.seconds
        val demand = KindDemand(
            openGroups * SLOTS,
            (0 until openGroups).sumOf { total[it] },
            sums[0],
            sums[1],
            rates.sumOf { it[2] } / span,
            rates.sumOf { it[3] } / span,
        )
        val view = DemandView(mapOf(KIND to demand), now)
        at(now + REPORT_DELAY) {
            reported = snapshot
            ownSnapshot.forEachIndexed { gateway, counts -> counts.copyInto(ownReported[gateway]) }
            gateways.forEachIndexed { index, gateway ->
                gateway.demandChanged(peak.receivedView(index, view, now), now)
            }
        }
    }

    companion object {
        val KIND = BackendKind("large")
        val OBJECTIVE = 402.milliseconds
        val FIRST_EVENT = 150.milliseconds
        const val MEAN_SERVICE = 1.0
        private const val GROUPS = 11
        private const val LOST_GROUPS = 2
        private const val SLOTS = 34
        private const val OSCILLATION = 0.55
        private val PERIOD = 15.seconds
        private val LOSS_AT = 3.seconds
        private val DEADLINE = 8.05.seconds
        private val CHECK_PERIOD = 100.milliseconds
        private val REPORT_DELAY = 150.milliseconds
        private val RATE_WINDOW = 2.seconds
    }
}
