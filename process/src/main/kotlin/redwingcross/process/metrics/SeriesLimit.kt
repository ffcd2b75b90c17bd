package redwingcross.process.metrics

import java.util.concurrent.ConcurrentHashMap

/** Bounds the number of label combinations of each metric. */
internal class SeriesLimit(private val maximum: Int) {
    private val known = ConcurrentHashMap<String, MutableSet<Map<String, String>>>()

    /** [labels] if they are known or there is room for them, else the same keys with the value `other`. */
    fun admit(name: String, labels: Map<String, String>): Map<String, String> {
        val seen = known.computeIfAbsent(name) { ConcurrentHashMap.newKeySet() }
        if (labels in seen) return labels
        if (seen.size >= maximum) return labels.mapValues { "other" }
        seen += labels
        return labels
    }
}
