package redwingcross.process.metrics

import java.util.concurrent.ConcurrentHashMap

/** Limits the number of label combinations of each metric to [maximum]. */
internal class SeriesLimit(private val maximum: Int) {
    private val knownSeries = ConcurrentHashMap<String, MutableSet<Map<String, String>>>()

    /** Returns [labels] if they are known or the limit is not reached, else the same keys with the value `other`. */
    fun admit(name: String, labels: Map<String, String>): Map<String, String> {
        val seen = knownSeries.computeIfAbsent(name) { ConcurrentHashMap.newKeySet() }
        if (labels in seen) return labels
        if (seen.size >= maximum) return labels.mapValues { "other" }
        seen += labels
        return labels
    }
}
