package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * The end of an engine as a process knows it.
 *
 * [cleared] names the traits that an answer, begun after the crash, proved to be sound. It is a set rather than a time:
 * a time that is passed on as an age grows by the delay of each message, and would in the end clear later crashes.
 * For the same reason [at] is the earliest time reported.
 */
data class Crash(
    val at: Duration,
    val requests: Map<AttemptId, Set<RequestTrait>>,
    val cleared: Set<RequestTrait> = emptySet(),
) {
    /** Parts that this crash accuses. */
    val accused: Set<RequestTrait> by lazy { requests.values.flatMapTo(HashSet()) { it } }

    /** Traits of all requests, and cleared ones; a trait of several requests counts for each. */
    val traitCount: Int by lazy { cleared.size + requests.values.sumOf { it.size } }

    /** Returns this crash with [traits] cleared, or this instance if none of them is accused. */
    fun clear(traits: Collection<RequestTrait>): Crash {
        val proved = traits.filterTo(HashSet()) { it in accused }
        return if (proved.isEmpty()) this else reduced(at, requests, cleared + proved)
    }

    /**
     * Returns the union of what two processes know of the same crash, or this instance if [other] adds nothing. After
     * several merges [at] is within [CrashLimits.timeTolerance] of the earliest time; where, depends on their order.
     */
    fun merge(other: Crash): Crash {
        val earliest = if (other.at < at - CrashLimits.timeTolerance) other.at else at
        val clearedByEither = if (cleared.containsAll(other.cleared)) cleared else cleared + other.cleared
        val isKnown = other.requests.all { (attempt, traits) -> knows(attempt, traits) }
        if (earliest == at && clearedByEither === cleared && isKnown) return this
        val union = requests.toMutableMap()
        other.requests.forEach { (attempt, traits) -> union.merge(attempt, traits) { one, two -> one + two } }
        val merged = reduced(earliest, union, clearedByEither)
        return if (merged == this) this else merged
    }

    /** Whether [report], whose traits are indices into [traits], adds nothing to this crash. */
    fun includes(report: CrashReport, traits: List<RequestTrait>, reportedAt: Duration): Boolean =
        reportedAt >= at - CrashLimits.timeTolerance &&
            report.cleared.all { traits[it] in cleared } &&
            report.requests.all { request -> knows(AttemptId(request.attempt), request.traits.map(traits::get)) }

    private fun knows(attempt: AttemptId, traits: Collection<RequestTrait>): Boolean {
        val known = requests[attempt].orEmpty()
        return traits.all { it in known || it in cleared }
    }

    companion object {
        /** Returns a crash whose requests name only traits that aren't cleared, with at most the allowed requests. */
        fun reduced(at: Duration, requests: Map<AttemptId, Set<RequestTrait>>, cleared: Set<RequestTrait>): Crash {
            val accusing = requests.mapValues { (_, traits) -> traits - cleared }.filterValues { it.isNotEmpty() }
            if (accusing.size <= CrashLimits.REQUESTS_PER_CRASH) return Crash(at, accusing, cleared)
            val kept = accusing.entries.sortedBy { it.key.value }.take(CrashLimits.REQUESTS_PER_CRASH)
            return Crash(at, kept.associate { it.key to it.value }, cleared)
        }
    }
}
