package redwingcross.version.forwarding

import redwingcross.request.ProcessName
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Merges what all gateways measured of the groups, each named by a [Name]. The pace of a group is the median over the
 * gateways, weighted by their number of events, so that one gateway that is itself slow doesn't decide.
 */
class MergedPace<Name> {
    private val groups = HashMap<Name, Group>()

    private class Report(val pace: Double, val events: Int, val receivedAt: Duration)

    private class Group {
        val reports = HashMap<ProcessName, Report>()
        var pace = 1.0
        var paceAt = -Duration.INFINITE
        var ended = 0.0
        var failed = 0.0
        var countedAt = Duration.ZERO

        fun add(gateway: ProcessName, sample: PaceSample, now: Duration) {
            if (sample.pace != null) reports[gateway] = Report(sample.pace, sample.events, now)
            if (sample.ended == 0) return
            decay(now)
            ended += sample.ended
            failed += sample.failed
        }

        fun decay(now: Duration) {
            val factor = DECAY_BASE.pow((now - countedAt) / FAILURE_HALF_LIFE)
            ended *= factor
            failed *= factor
            countedAt = now
        }
    }

    /** Applies what [gateway] measured. A sample with more failures than ends is ignored. */
    fun received(gateway: ProcessName, samples: Map<Name, PaceSample>, now: Duration) {
        for ((name, sample) in samples) {
            if (sample.failed in 0..sample.ended) groups.getOrPut(name, ::Group).add(gateway, sample, now)
        }
    }

    /**
     * Time that each group needs relative to the average of its kind, increased by its failure rate. Groups that need
     * about the usual time are left out.
     */
    fun deviations(now: Duration): Map<Name, Double> {
        groups.values.removeIf { group -> update(group, now) }
        return groups.mapValues { (_, group) -> group.pace * failureFactor(group) }.filterValues { it !in USUAL }
    }

    /** Updates [group] to [now]; returns whether nothing is known of it any more. */
    private fun update(group: Group, now: Duration): Boolean {
        group.reports.values.removeIf { now - it.receivedAt >= REPORT_LIFETIME }
        if (group.reports.isNotEmpty()) {
            group.pace = weightedMedian(group.reports.values.map { it.pace to it.events })
            group.paceAt = now
        } else if (group.pace < SLOW || now - group.paceAt >= SLOW_LIFETIME) {
            group.pace = 1.0
        }
        group.decay(now)
        return group.pace == 1.0 && group.ended < LEAST_ENDS
    }

    private fun failureFactor(group: Group): Double =
        1 + FAILURE_FACTOR * group.failed / (group.ended + ASSUMED_SUCCESSES)

    companion object {
        /** The value at which half of the weight is reached; [values] are pairs of a value and its weight. */
        internal fun weightedMedian(values: List<Pair<Double, Int>>): Double {
            val sorted = values.sortedBy { it.first }
            val half = sorted.sumOf { it.second } / 2.0
            var sum = 0
            return sorted.first { (_, weight) ->
                sum += weight
                sum >= half
            }.first
        }

        /** A gateway with streams at a group reports it each 250 ms; one that doesn't has none any more. */
        private val REPORT_LIFETIME = 1.seconds

        /**
         * A slow group gets few requests, so that soon nobody measures it. After this time it is tried again; sooner,
         * all gateways would send to it for the second until its slowness is known again.
         */
        private val SLOW_LIFETIME = 5.seconds
        private const val SLOW = 2.0

        /** Smaller differences come from the load of the groups, which placement considers itself. */
        private val USUAL = 0.75..1.3

        /** A group that fails half of its requests then counts as four times as slow. */
        private const val FAILURE_FACTOR = 6.0

        /** One failure among few requests says little. */
        private const val ASSUMED_SUCCESSES = 3.0
        private val FAILURE_HALF_LIFE = 3.seconds
        private const val DECAY_BASE = 0.5
        private const val LEAST_ENDS = 0.1
    }
}
