package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests under way at each back end, from this gateway and, as last heard, from the others. */
class BackendLoad {
    private val own = HashMap<BackendServer, Int>()
    private val others = HashMap<ProcessName, Map<BackendServer, Int>>()
    private val sumOfOthers = HashMap<BackendServer, Int>()

    /** Requests of this gateway, for the other gateways. */
    val ownCounts: Map<BackendServer, Int> get() = own

    fun requestStarted(server: BackendServer) {
        own.merge(server, 1, Int::plus)
    }

    fun requestEnded(server: BackendServer) {
        val left = (own[server] ?: 0) - 1
        if (left > 0) own[server] = left else own.remove(server)
    }

    /** Takes the counts of another gateway; null when it is gone. */
    fun updateReported(gateway: ProcessName, counts: Map<BackendServer, Int>?) {
        val before = if (counts == null) others.remove(gateway) else others.put(gateway, counts)
        before?.forEach { (server, count) -> addToOthers(server, -count) }
        counts?.forEach { (server, count) -> addToOthers(server, count) }
    }

    private fun addToOthers(server: BackendServer, change: Int) {
        val next = (sumOfOthers[server] ?: 0) + change
        if (next > 0) sumOfOthers[server] = next else sumOfOthers.remove(server)
    }

    /** Requests of all gateways at [server]. */
    fun total(server: BackendServer): Int = (own[server] ?: 0) + (sumOfOthers[server] ?: 0)
}

/** How a back end has served lately, as this gateway saw it. */
class BackendHealth {
    private val records = HashMap<BackendServer, Record>()
    private val usualPause = HashMap<String, Double>()

    /** An offer ended; [failed] if the back end broke it off, spoiled it or answered with an error. */
    fun recordEnd(server: BackendServer, failed: Boolean) {
        val record = records.getOrPut(server, ::Record)
        record.failureRate += FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - record.failureRate)
    }

    /** The back end declined a request, so it gets none for a moment. */
    fun recordDecline(server: BackendServer, now: Duration) {
        records.getOrPut(server, ::Record).avoidUntil = now + DECLINE_PAUSE
    }

    /** A connection to the back end could not be made. */
    fun recordUnreachable(server: BackendServer, now: Duration) {
        records.getOrPut(server, ::Record).avoidUntil = now + UNREACHABLE_PAUSE
    }

    /** A pause between two events of a stream, or the latency of a plain answer; [kind] groups what is comparable. */
    fun recordPause(server: BackendServer, kind: String, pause: Duration) {
        val millis = pause.inWholeMicroseconds / MICROS_PER_MILLI
        val record = records.getOrPut(server, ::Record)
        record.pause = if (record.pause == 0.0) millis else record.pause + PAUSE_WEIGHT * (millis - record.pause)
        val usual = usualPause[kind]
        usualPause[kind] = if (usual == null) millis else usual + USUAL_WEIGHT * (millis - usual)
    }

    /** Factor on the time that [server] needs beside others of its kind: 1 for a sound one. */
    fun slowness(server: BackendServer, kind: String): Double {
        val record = records[server] ?: return 1.0
        val usual = usualPause[kind]
        val slow = if (usual == null || usual <= 0 || record.pause == 0.0) 1.0 else record.pause / usual
        return slow.coerceIn(SMALLEST_FACTOR, LARGEST_FACTOR) * (1 + FAILURE_FACTOR * record.failureRate)
    }

    fun isAvoided(server: BackendServer, now: Duration): Boolean = records[server]?.let { now < it.avoidUntil } == true

    /** Forgets back ends that are gone. */
    fun retain(servers: Set<BackendServer>) {
        records.keys.retainAll(servers)
    }

    private class Record {
        var failureRate = 0.0
        var pause = 0.0
        var avoidUntil = Duration.ZERO
    }

    private companion object {
        const val FAILURE_WEIGHT = 0.15
        const val PAUSE_WEIGHT = 0.1
        const val USUAL_WEIGHT = 0.01
        const val FAILURE_FACTOR = 6.0
        const val SMALLEST_FACTOR = 0.6
        const val LARGEST_FACTOR = 10.0
        const val MICROS_PER_MILLI = 1000.0
        val DECLINE_PAUSE = 150.milliseconds
        val UNREACHABLE_PAUSE = 1.seconds
    }
}
