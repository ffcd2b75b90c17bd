package redwingcross.version.routing

import kotlinx.serialization.Serializable
import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import redwingcross.version.placement.BootId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** A gateway's finding that a server lost its warm state; [number] differs between the reports of one gateway. */
@Serializable
data class ColdReport(val server: BackendServer, val incarnation: BootId, val reporter: ProcessName, val number: Long)

/** Why and since when this gateway doesn't use a server; [failures] counts the failures without a success. */
data class LocalSuspension(val since: Duration, val failures: Int, val reason: String) {
    /** Time after [since] until the server is tried again; it doubles with each failure. */
    fun probeDelay(settings: RouterSettings): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return minOf(settings.probeDelay * (1 shl doublings), settings.maxProbeDelay)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}

/** Times to first token of one incarnation, the newest last. */
data class FirstByteTimes(val incarnation: BootId?, val samples: List<Duration>) {
    /** Median of the samples; null while there are too few. */
    val usual: Duration? = samples.takeIf { it.size >= ENOUGH }?.sorted()?.let { it[it.size / 2] }

    /** Whether [sample] shows a server that lost its warm state, going by its earlier samples. */
    fun isJump(sample: Duration, factor: Double): Boolean =
        usual != null && sample >= SMALLEST_JUMP && sample > usual * factor

    /** The samples with [sample]; those of another incarnation are dropped. */
    fun add(sample: Duration, of: BootId?): FirstByteTimes =
        if (of == incarnation) copy(samples = (samples + sample).takeLast(KEPT)) else FirstByteTimes(of, listOf(sample))

    private companion object {
        const val KEPT = 16
        const val ENOUGH = 5

        /** Shorter times are scheduling noise on a busy host, whatever the usual time is. */
        val SMALLEST_JUMP = 250.milliseconds
    }
}

/** What this gateway itself has seen of the servers, or heard from other gateways. */
data class ServerHealth(
    val suspensions: Map<BackendServer, LocalSuspension> = emptyMap(),
    /** When an incarnation was found cold; the ramp-up begins anew from there. */
    val coldSince: Map<BootId, Duration> = emptyMap(),
    /** Incarnations that a server no longer has, as its answers showed. */
    val replaced: Set<BootId> = emptySet(),
    val firstBytes: Map<BackendServer, FirstByteTimes> = emptyMap(),
    private val seenReports: Set<ColdReport> = emptySet(),
) {
    /** Time for which an incarnation that has been ready for [readyFor] may count as serving. */
    fun servingFor(incarnation: BootId, readyFor: Duration, now: Duration): Duration =
        coldSince[incarnation]?.let { minOf(readyFor, now - it) } ?: readyFor

    /** The server failed or refused a request. */
    fun suspend(server: BackendServer, reason: String, now: Duration): ServerHealth {
        val failures = (suspensions[server]?.failures ?: 0) + 1
        return copy(suspensions = suspensions + (server to LocalSuspension(now, failures, reason)))
    }

    /** The server answered. */
    fun resume(server: BackendServer): ServerHealth =
        if (server in suspensions) copy(suspensions = suspensions - server) else this

    /** The incarnation lost its warm state, or may have. */
    fun markCold(incarnation: BootId, now: Duration): ServerHealth = copy(
        coldSince = coldSince.filterValues { now < it + COLD_MEMORY } + (incarnation to now),
    )

    /** The server runs another incarnation than [incarnation]. */
    fun markReplaced(incarnation: BootId): ServerHealth =
        copy(replaced = (replaced + incarnation).toList().takeLast(REPORT_MEMORY).toSet())

    /** A peer's report, which gossip may deliver more than once. */
    fun reported(report: ColdReport, now: Duration): ServerHealth = if (report in seenReports) {
        this
    } else {
        markCold(report.incarnation, now)
            .copy(seenReports = (seenReports + report).toList().takeLast(REPORT_MEMORY).toSet())
    }

    /** The first byte of an answer came after [sample]. */
    fun answered(server: BackendServer, incarnation: BootId?, sample: Duration): ServerHealth {
        val times = firstBytes[server] ?: FirstByteTimes(incarnation, emptyList())
        return copy(firstBytes = firstBytes + (server to times.add(sample, incarnation)))
    }

    /** Forgets servers that are no longer configured. */
    fun keepOnly(servers: Set<BackendServer>): ServerHealth = copy(
        suspensions = suspensions.filterKeys { it in servers },
        firstBytes = firstBytes.filterKeys { it in servers },
    )

    private companion object {
        const val REPORT_MEMORY = 256

        /** Longer than any ramp-up takes, so that a forgotten mark has no effect. */
        val COLD_MEMORY = 30.minutes
    }
}
