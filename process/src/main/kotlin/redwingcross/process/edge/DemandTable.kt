package redwingcross.process.edge

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sums the demand that gateways report in their heartbeats. Waiting requests are those of the last heartbeat of each
 * gateway; rates count the heartbeats of the last seconds.
 */
class DemandTable {
    private class Report(val at: Duration, val counts: Map<CompactName, KindCounts>)

    private class Bucket(val startedAt: Duration) {
        val freed = HashMap<CompactName, Int>()
        val refused = HashMap<CompactName, Int>()
    }

    private val reports = HashMap<String, Report>()
    private val buckets = ArrayDeque<Bucket>()
    private var lastTickAt: Duration? = null

    /** The inputs that arrived until the next tick may be as old as this, because the process was paused. */
    private var inputsSince: Duration? = null

    /** Records the demand of a heartbeat of [gateway], empty if it had nothing to report. */
    fun record(gateway: String, counts: Map<CompactName, KindCounts>, now: Duration) {
        if (counts.isEmpty()) {
            reports.remove(gateway)
            return
        }
        reports[gateway] = Report(now, counts)
        val bucket = buckets.lastOrNull()?.takeIf { now - it.startedAt < BUCKET } ?: Bucket(now).also(buckets::addLast)
        for ((kind, count) in counts) {
            bucket.freed.merge(kind, count.freed, Int::plus)
            bucket.refused.merge(kind, count.refused, Int::plus)
        }
    }

    /**
     * Called at each heartbeat round. After a pause of this process, the heartbeats that waited in its socket meanwhile
     * look new and may be as old as the pause was long.
     */
    fun tick(now: Duration) {
        inputsSince = lastTickAt?.takeIf { now - it > LONGEST_ROUND }
        lastTickAt = now
        reports.values.removeIf { now - it.at > REPORT_LIFETIME }
        while (buckets.isNotEmpty() && now - buckets.first().startedAt > RATE_WINDOW) buckets.removeFirst()
    }

    /** The sums over all gateways, with rates in ten seconds. */
    fun sums(now: Duration): Map<CompactName, KindCounts> {
        val first = buckets.firstOrNull() ?: return emptyMap()
        val seconds = maxOf(now - first.startedAt, BUCKET) / 1.seconds
        val waiting = HashMap<CompactName, IntArray>()
        for (report in reports.values) {
            for ((kind, count) in report.counts) {
                val sum = waiting.getOrPut(kind) { IntArray(2) }
                sum[0] += count.waitingInTime
                sum[1] += count.waitingLate
            }
        }
        fun rate(events: (Bucket) -> Int?) = (buckets.sumOf { events(it) ?: 0 } * RATE_SECONDS / seconds).toInt()
        val kinds = waiting.keys + buckets.flatMap { it.freed.keys }
        return kinds.associateWith { kind ->
            val sum = waiting[kind] ?: IntArray(2)
            KindCounts(sum[0], sum[1], rate { it.freed[kind] }, rate { it.refused[kind] })
        }
    }

    /** Age of the oldest input of the sums. */
    fun age(now: Duration): Duration = now - minOf(inputsSince ?: now, reports.values.minOfOrNull { it.at } ?: now)

    companion object {
        /** Unit of the rates in [KindCounts] of a digest, so that rates below one a second aren't lost. */
        const val RATE_SECONDS = 10

        /** Long enough that the rate of a plain service with 20 calls a second is known, short against a peak. */
        private val RATE_WINDOW = 2.seconds
        private val BUCKET = 250.milliseconds

        /** A gateway whose heartbeats were lost four times in a row counts as one without demand. */
        private val REPORT_LIFETIME = 1.seconds

        /** A heartbeat round takes 250 ms; after a longer one this process was paused or its processor taken. */
        private val LONGEST_ROUND = 750.milliseconds
    }
}
