package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Number of requests in flight at each back end: those of this gateway, and those of the other gateways as last
 * reported, either by each gateway or in total for the fleet.
 */
class BackendLoad {
    private val own = HashMap<BackendServer, Int>()
    private val countsByGateway = HashMap<ProcessName, Map<BackendServer, Int>>()
    private val otherGatewaysTotal = HashMap<BackendServer, Int>()
    private var fleetTotal: ((BackendServer) -> Int)? = null
    private var ownInFleetTotal = emptyMap<BackendServer, Int>()
    private var lastReported = emptyMap<BackendServer, Int>()

    /** Requests of this gateway by back end. */
    val ownCounts: Map<BackendServer, Int> get() = own

    /** Requests of this gateway by back end, for a report to other processes. */
    fun report(): Map<BackendServer, Int> = own.toMap().also { lastReported = it }

    fun requestStarted(server: BackendServer) {
        own.merge(server, 1, Int::plus)
    }

    fun requestEnded(server: BackendServer) {
        val left = (own[server] ?: 0) - 1
        if (left > 0) own[server] = left else own.remove(server)
    }

    /** Replaces the counts of another gateway; null removes a gateway that is no longer alive. */
    fun updateReported(gateway: ProcessName, counts: Map<BackendServer, Int>?) {
        val before = if (counts == null) countsByGateway.remove(gateway) else countsByGateway.put(gateway, counts)
        before?.forEach { (server, count) -> addToTotal(server, -count) }
        counts?.forEach { (server, count) -> addToTotal(server, count) }
    }

    /** Sets the total of all gateways, this one included; null if only the reports of single gateways are known. */
    fun updateFleetTotal(total: ((BackendServer) -> Int)?) {
        fleetTotal = total
        ownInFleetTotal = lastReported
    }

    private fun addToTotal(server: BackendServer, change: Int) {
        val next = (otherGatewaysTotal[server] ?: 0) + change
        if (next > 0) otherGatewaysTotal[server] = next else otherGatewaysTotal.remove(server)
    }

    /** Number of requests of all gateways in flight at [server]. */
    fun total(server: BackendServer): Int {
        val total = fleetTotal
        val others = if (total == null) {
            otherGatewaysTotal[server] ?: 0
        } else {
            (total(server) - (ownInFleetTotal[server] ?: 0)).coerceAtLeast(0)
        }
        return (own[server] ?: 0) + others
    }

    /** Requests of all gateways by back end, from the reports of single gateways. */
    fun totals(): Map<BackendServer, Int> =
        (own.keys + otherGatewaysTotal.keys).associateWith { (own[it] ?: 0) + (otherGatewaysTotal[it] ?: 0) }
}

/** Recent failures and latencies of back ends as measured by this gateway. */
class BackendHealth {
    private val records = HashMap<BackendServer, Record>()
    private val averagePause = HashMap<String, Double>()

    /** The slowness of a group's head in the view of the fleet, given the own one; null unless gateways share it. */
    var fleetSlowness: ((BackendServer, own: Double) -> Double)? = null

    /**
     * Records the end of a request; [failed] if the back end closed the connection early, sent an invalid response or
     * an error.
     */
    fun recordEnd(server: BackendServer, failed: Boolean) {
        val record = records.getOrPut(server, ::Record)
        record.failureRate += FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - record.failureRate)
    }

    /** Avoids the back end for a short time after it declined a request. */
    fun recordDecline(server: BackendServer, now: Duration) {
        records.getOrPut(server, ::Record).avoidUntil = now + DECLINE_BACKOFF
    }

    /** Avoids the back end after a connection to it could not be established. */
    fun recordUnreachable(server: BackendServer, now: Duration) {
        records.getOrPut(server, ::Record).avoidUntil = now + UNREACHABLE_BACKOFF
    }

    /** Avoids the back end where [backend] states, because another one answered there; see [isAvoided]. */
    fun recordMisdirected(backend: ChosenBackend, now: Duration) {
        val record = records.getOrPut(backend.server, ::Record)
        record.absence = Absence(backend.address, backend.start, now + MISDIRECTED_BACKOFF)
    }

    /**
     * Records the time between two events of a stream, or the latency of a plain response. [kind] identifies the back
     * ends whose times are comparable, see [ChosenBackend.kind].
     */
    fun recordPause(server: BackendServer, kind: String, pause: Duration) {
        val millis = pause.inWholeMicroseconds / MICROS_PER_MILLI
        val record = records.getOrPut(server, ::Record)
        record.pause = if (record.pause == 0.0) millis else record.pause + PAUSE_WEIGHT * (millis - record.pause)
        val average = averagePause[kind]
        averagePause[kind] = if (average == null) millis else average + AVERAGE_WEIGHT * (millis - average)
    }

    /** Time that [server] needs relative to the average of its kind, increased by its failure rate; 1 if unknown. */
    fun slowness(server: BackendServer, kind: String): Double {
        val record = records[server] ?: return 1.0
        val average = averagePause[kind]
        val ratio = if (average == null || average <= 0 || record.pause == 0.0) 1.0 else record.pause / average
        return ratio.coerceIn(MIN_PAUSE_RATIO, MAX_PAUSE_RATIO) * (1 + FAILURE_FACTOR * record.failureRate)
    }

    /** The [slowness] of the head of a group, with what other gateways measured if they share it. */
    fun groupSlowness(head: BackendServer, kind: String): Double {
        val own = slowness(head, kind)
        return fleetSlowness?.invoke(head, own) ?: own
    }

    /**
     * Whether [engine] should get no requests at [now], because it recently declined one or was unreachable, or because
     * another back end answered at the address of this start.
     */
    fun isAvoided(engine: EngineStatus, now: Duration): Boolean {
        val record = records[engine.id] ?: return false
        return now < record.avoidUntil || record.absence?.isOf(engine, now) == true
    }

    /** Removes the records of all back ends except [servers]. */
    fun retain(servers: Set<BackendServer>) {
        records.keys.retainAll(servers)
    }

    private class Record {
        var failureRate = 0.0
        var pause = 0.0
        var avoidUntil = Duration.ZERO
        var absence: Absence? = null
    }

    /** The address and start under which a back end was not found, and until when that counts. */
    private class Absence(val address: Endpoint, val start: EngineStart?, val until: Duration) {
        fun isOf(engine: EngineStatus, now: Duration): Boolean =
            engine.address == address && engine.start == start && now < until
    }

    private companion object {
        const val FAILURE_WEIGHT = 0.15
        const val PAUSE_WEIGHT = 0.1
        const val AVERAGE_WEIGHT = 0.01
        const val FAILURE_FACTOR = 6.0
        const val MIN_PAUSE_RATIO = 0.6
        const val MAX_PAUSE_RATIO = 10.0
        const val MICROS_PER_MILLI = 1000.0
        val DECLINE_BACKOFF = 150.milliseconds
        val UNREACHABLE_BACKOFF = 1.seconds

        /** The entry of a back end that has ended expires within 4 s; one that stays longer is tried again. */
        val MISDIRECTED_BACKOFF = 5.seconds
    }
}
