package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * Finds few traits that explain the crashes: repeatedly the trait with the most crashes at separate times. Its requests
 * then accuse no other trait, so a trait that is in some of the requests of another one isn't blamed. Other requests of
 * its crashes still accuse, since a second crashing trait may wait at the same engines, but don't suffice by
 * themselves.
 */
internal class CrashExplanation(ledger: CrashLedger) {
    private var known = ledger.crashes
        .map { (run, crash) ->
            KnownCrash(run, crash.at, ledger.clearableSince(run), crash.requests, isExplained = false)
        }.sortedWith(ORDER)

    fun explanations(): List<Explanation> {
        val found = ArrayList<Explanation>()
        while (true) {
            val candidates = strongest()
            if (candidates.isEmpty()) return found
            candidates.forEach { candidate -> candidate.decisive?.let { found += candidate.explanation(it) } }
            val traits = candidates.flatMapTo(HashSet()) { it.traits }
            known = known.map { it.without(traits) }
        }
    }

    /** Returns the strongest candidate, or several of equal strength in the order of their traits. */
    private fun strongest(): List<Candidate> {
        val crashesOf = LinkedHashMap<RequestTrait, MutableList<KnownCrash>>()
        known.forEach { crash -> crash.accused.forEach { crashesOf.getOrPut(it) { ArrayList() }.add(crash) } }
        val candidates =
            crashesOf
                .entries
                .filter { it.value.size >= CrashLimits.CRASHES_TO_BLOCK }
                .groupBy({ it.value }, { it.key })
                .flatMap { (crashes, traits) -> alternatives(traits).map { candidate(it, crashes) } }
                .filter { it.decisive != null }
        val strongest = candidates.maxWithOrNull(STRENGTH) ?: return emptyList()
        return candidates.filter { STRENGTH.compare(it, strongest) == 0 }.sortedBy { it.firstTrait.id }
    }

    /** Groups [traits] that are accused by the same crashes. No request has two digests, so each is an alternative. */
    private fun alternatives(traits: List<RequestTrait>): List<Set<RequestTrait>> {
        val (requests, parts) = traits.partition { it is RequestDigest }
        return requests.map(::setOf) + listOf(parts.toSet()).filter { it.isNotEmpty() }
    }

    private fun candidate(traits: Set<RequestTrait>, crashes: List<KnownCrash>): Candidate {
        val own = crashes.toSet()
        val others = known.filterNot { it in own || it.isExplained }
        return Candidate(traits, crashes, crashes.associateWith { separation(it, crashes, others) }, others)
    }

    /** Returns the time by which [crash] has to follow another of the same [crashes] to count. */
    private fun separation(crash: KnownCrash, crashes: List<KnownCrash>, others: List<KnownCrash>): Duration {
        val same = crashes.count { crash.isWithin(CrashLimits.neighborhood, it) }
        val other = others.count { crash.isWithin(CrashLimits.neighborhood, it) }
        val amidMany = other > CrashLimits.MANY_OTHERS_RATIO * same
        return if (amidMany) CrashLimits.doubtfulSeparation else CrashLimits.separation
    }

    /** A crash without the requests of traits that explain it. Compared by its run, which occurs once. */
    private class KnownCrash(
        val run: EngineRun,
        val at: Duration,
        val clearableSince: Duration,
        val requests: Map<AttemptId, Set<RequestTrait>>,
        val isExplained: Boolean,
    ) {
        val accused: Set<RequestTrait> by lazy { requests.values.flatMapTo(LinkedHashSet()) { it } }

        fun isWithin(time: Duration, other: KnownCrash): Boolean = (at - other.at).absoluteValue <= time

        fun without(traits: Set<RequestTrait>): KnownCrash {
            if (traits.none { it in accused }) return this
            return KnownCrash(
                run,
                at,
                clearableSince,
                requests.filterValues { it.none(traits::contains) },
                isExplained = true,
            )
        }

        override fun equals(other: Any?): Boolean = other is KnownCrash && other.run == run

        override fun hashCode(): Int = run.hashCode()
    }

    private class Candidate(
        val traits: Set<RequestTrait>,
        val crashes: List<KnownCrash>,
        private val separations: Map<KnownCrash, Duration>,
        others: List<KnownCrash>,
    ) {
        val firstTrait: RequestTrait = traits.minBy { it.id }

        /** Whether requests beyond the repeats of one have to be refused to explain so few crashes. */
        val isBroad: Boolean get() = firstTrait is PromptPart && crashes.size < CrashLimits.CRASHES_TO_LIST_TOGETHER

        val separateTimes: List<Duration> = separateTimes(crashes)

        /** A crash that was confirmed late takes part in the decision only from then on. */
        private val clearable = crashes.sortedBy { it.clearableSince }

        private val thresholds = BlockThresholds.of(firstTrait)

        private val decisiveAlone = decisive(thresholds.alone)

        /** Whether other ends, or another trait, cast doubt. Later crashes don't, so that they don't end a block. */
        private val amidOthers =
            decisiveAlone != null && castDoubt(others, decisiveAlone + thresholds.alone.clearingTime)

        private fun castDoubt(others: List<KnownCrash>, until: Duration): Boolean =
            crashes.any { it.isExplained && it.clearableSince <= until } ||
                others.any { other ->
                    other.clearableSince <= until && crashes.any { it.isWithin(CrashLimits.noiseWindow, other) }
                }

        /** Time since which the crashes prove that the traits end engines unless an answer clears them, or null. */
        val decisive: Duration? =
            if (amidOthers) thresholds.amidOthers.mapNotNull(::decisive).minOrNull() else decisiveAlone

        private fun decisive(threshold: BlockThreshold): Duration? {
            val attempts = HashSet<AttemptId>()
            val withAttempts = clearable.firstOrNull {
                attempts.addAll(attemptsIn(it)) && attempts.size >= threshold.attempts
            }
            val withTimes = separateSince(threshold.separateTimes)
            val isUnexplained = crashes.count { !it.isExplained } >= CrashLimits.UNEXPLAINED_CRASHES_TO_BLOCK
            if (withAttempts == null || withTimes == null || !isUnexplained) return null
            return maxOf(
                withAttempts.clearableSince,
                withTimes,
                clearable[CrashLimits.CRASHES_TO_BLOCK - 1].clearableSince,
            )
        }

        /** Returns the time since which crashes at [timesNeeded] separate times are known, or null. */
        private fun separateSince(timesNeeded: Int): Duration? {
            if (separateTimes.size < timesNeeded) return null
            var first = 0
            var last = clearable.lastIndex
            while (first < last) {
                val middle = (first + last) / 2
                if (hasSeparateTimes(clearable.take(middle + 1), timesNeeded)) last = middle else first = middle + 1
            }
            return clearable[last].clearableSince
        }

        private fun hasSeparateTimes(crashes: List<KnownCrash>, timesNeeded: Int): Boolean =
            separateTimes(crashes.sortedWith(ORDER)).size >= timesNeeded

        /** Returns the times of [crashes] that count, the first of each time span of the separation. */
        private fun separateTimes(crashes: List<KnownCrash>): List<Duration> {
            val times = ArrayList<Duration>()
            crashes.forEach { known ->
                val counts = times.isEmpty() || known.at - times.last() >= separations.getValue(known)
                if (counts) times += known.at
            }
            return times
        }

        fun explanation(decisive: Duration): Explanation {
            val attempts = crashes.flatMapTo(LinkedHashSet()) { attemptsIn(it) }.toList()
            val ownTime = (if (amidOthers) thresholds.amidOthers.first() else thresholds.alone).clearingTime
            val clearingTime = if (attempts.size > crashes.size) ownTime + CrashLimits.commonTraitTime else ownTime
            return Explanation(
                traits = traits,
                crashes = crashes.map { it.run },
                attempts = attempts,
                blockedFrom = decisive + clearingTime,
                listedFrom = if (traits.size == 1) decisive + clearingTime else listedTogetherFrom(decisive),
                proof = proof(),
            )
        }

        private fun listedTogetherFrom(decisive: Duration): Duration? {
            val last = clearable.getOrNull(CrashLimits.CRASHES_TO_LIST_TOGETHER - 1) ?: return null
            return maxOf(decisive, last.clearableSince) + CrashLimits.longClearingTime
        }

        private fun attemptsIn(known: KnownCrash): List<AttemptId> =
            known.requests.filterValues { traits.any(it::contains) }.keys.toList()

        /** Selects crashes at separate times, of different attempts, that no other trait explains or has in common. */
        private fun proof(): Set<EngineRun> {
            val needed =
                if (traits.size == 1) CrashLimits.CRASHES_TO_BLOCK else CrashLimits.CRASHES_TO_LIST_TOGETHER
            val times = separateTimes.take(CrashLimits.SEPARATE_TIMES_TO_BLOCK_AMID_OTHERS).toSet()
            val chosen = crashes.filterTo(ArrayList()) { it.at in times }
            var common = chosen.map { it.accused }.reduce { one, two -> one intersect two }
            val attempts = chosen.flatMapTo(HashSet()) { attemptsIn(it) }
            crashes.filterNot { it in chosen }.forEach { known ->
                val narrows = !known.accused.containsAll(common)
                val addsAttempt =
                    attempts.size < CrashLimits.ATTEMPTS_TO_BLOCK_AMID_OTHERS && attempts.addAll(attemptsIn(known))
                val unexplained = chosen.count { !it.isExplained }
                val addsUnexplained =
                    !known.isExplained && unexplained < CrashLimits.UNEXPLAINED_CRASHES_TO_BLOCK
                val reasons = listOf(narrows, addsAttempt, addsUnexplained, chosen.size < needed)
                if (reasons.any { it }) {
                    chosen += known
                    common = common intersect known.accused
                }
            }
            return chosen.mapTo(HashSet()) { it.run }
        }
    }

    private companion object {
        /** Of a request and a part of its prompt that are in the same crashes, blocking the request affects fewer. */
        val STRENGTH: Comparator<Candidate> =
            compareBy({ it.separateTimes.size }, { it.crashes.size }, { !it.isBroad })

        val ORDER: Comparator<KnownCrash> =
            compareBy({ it.at }, { it.run.engine.value }, { it.run.start?.unixMillis ?: 0 })
    }
}
