package redwingcross.version.routing

import kotlinx.serialization.Serializable
import redwingcross.request.BackendServer
import redwingcross.request.ProcessName
import redwingcross.version.placement.BootId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** A gateway's report that a server lost its warm state; [number] is unique among the reports of one gateway. */
@Serializable
data class ColdReport(val server: BackendServer, val incarnation: BootId, val reporter: ProcessName, val number: Long)

/** Suspension of a server by this gateway; [failures] is the number of failures since the last success. */
data class LocalSuspension(val since: Duration, val failures: Int, val reason: String) {
    /** Backoff after [since] until the server is tried again; doubles with each failure up to a maximum. */
    fun probeDelay(settings: RouterSettings): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return minOf(settings.probeDelay * (1 shl doublings), settings.maxProbeDelay)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}

/** Recent times to first token of one incarnation, the newest last. */
data class FirstByteTimes(val incarnation: BootId?, val samples: List<Duration>) {
    /** Median of the samples; null with fewer than five samples. */
    val median: Duration? = samples.takeIf { it.size >= MIN_SAMPLES }?.sorted()?.let { it[it.size / 2] }

    /** Whether [sample] is so far above the median that the server must have lost its warm state. */
    fun isCold(sample: Duration, factor: Double): Boolean =
        median != null && sample >= MIN_COLD_LATENCY && sample > median * factor

    /** Adds [sample] of incarnation [of]; the samples of any other incarnation are dropped. */
    fun add(sample: Duration, of: BootId?): FirstByteTimes =
        if (of == incarnation) copy(samples = (samples + sample).takeLast(SIZE)) else FirstByteTimes(of, listOf(sample))

    private companion object {
        /** Number of samples kept. */
        const val SIZE = 16

        const val MIN_SAMPLES = 5

        /** Shorter times are scheduling noise on a busy host, whatever the median is. */
        val MIN_COLD_LATENCY = 250.milliseconds
    }
}

/** Health of the servers, from this gateway's own requests and from reports of other gateways. */
data class ServerHealth(
    val suspensions: Map<BackendServer, LocalSuspension> = emptyMap(),
    /** When an incarnation was detected to be cold; its ramp-up restarts from that time. */
    val coldSince: Map<BootId, Duration> = emptyMap(),
    /** Incarnations that have been replaced by another one, according to the server's responses. */
    val replaced: Set<BootId> = emptySet(),
    val firstBytes: Map<BackendServer, FirstByteTimes> = emptyMap(),
    private val seenReports: Set<ColdReport> = emptySet(),
) {
    /** Serving time of an incarnation that has been ready for [readyFor], counted anew from its last cold mark. */
    fun servingFor(incarnation: BootId, readyFor: Duration, now: Duration): Duration =
        coldSince[incarnation]?.let { minOf(readyFor, now - it) } ?: readyFor

    /** Suspends the server after it failed or refused a request. */
    fun suspend(server: BackendServer, reason: String, now: Duration): ServerHealth {
        val failures = (suspensions[server]?.failures ?: 0) + 1
        return copy(suspensions = suspensions + (server to LocalSuspension(now, failures, reason)))
    }

    /** Ends the suspension of the server after a successful response. */
    fun resume(server: BackendServer): ServerHealth =
        if (server in suspensions) copy(suspensions = suspensions - server) else this

    /** Records that the incarnation lost its warm state, or may have lost it. */
    fun markCold(incarnation: BootId, now: Duration): ServerHealth = copy(
        coldSince = coldSince.filterValues { now < it + COLD_MARK_RETENTION } + (incarnation to now),
    )

    /** Records that another incarnation has replaced [incarnation]. */
    fun markReplaced(incarnation: BootId): ServerHealth =
        copy(replaced = (replaced + incarnation).toList().takeLast(MAX_REMEMBERED).toSet())

    /** Applies a peer's report; duplicates, which gossip may deliver, are ignored. */
    fun recordReport(report: ColdReport, now: Duration): ServerHealth = if (report in seenReports) {
        this
    } else {
        markCold(report.incarnation, now)
            .copy(seenReports = (seenReports + report).toList().takeLast(MAX_REMEMBERED).toSet())
    }

    /** Records [sample], the time to the first byte of a response. */
    fun recordFirstByte(server: BackendServer, incarnation: BootId?, sample: Duration): ServerHealth {
        val times = firstBytes[server] ?: FirstByteTimes(incarnation, emptyList())
        return copy(firstBytes = firstBytes + (server to times.add(sample, incarnation)))
    }

    /** Removes servers that are no longer configured. */
    fun keepOnly(servers: Set<BackendServer>): ServerHealth = copy(
        suspensions = suspensions.filterKeys { it in servers },
        firstBytes = firstBytes.filterKeys { it in servers },
    )

    private companion object {
        const val MAX_REMEMBERED = 256

        /** Longer than any ramp-up takes, so removing a mark after this time has no effect. */
        val COLD_MARK_RETENTION = 30.minutes
    }
}
