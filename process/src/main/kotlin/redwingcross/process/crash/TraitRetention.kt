package redwingcross.process.crash

import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait
import redwingcross.version.routing.orderHash
import kotlin.time.Duration

/**
 * Bounds the traits of crashes whose requests have long prompts. What is left out doesn't depend on the place of a part
 * in its prompt, which callers choose. A trait that ends engines is never answered and recurs in each of its crashes,
 * so it stays once two crashes accuse it.
 */
internal object TraitRetention {
    /** Returns [traits] of a request at an engine that ended [at], of a long prompt those that may have ended it. */
    fun suspects(traits: Set<RequestTrait>, at: Duration, answered: AnsweredTraits): Set<RequestTrait> {
        if (traits.size <= CrashLimits.TRAITS_PER_REQUEST) return traits
        return traits.filterNotTo(LinkedHashSet()) { it !is RequestDigest && answered.answeredBefore(it, at) }
    }

    /** Returns [ledger] with no more traits than are kept, or [ledger] itself. The oldest crashes lose traits first. */
    fun bounded(ledger: CrashLedger): CrashLedger {
        var total = ledger.crashes.values.sumOf { it.traitCount }
        val isWithin = total <= CrashLimits.TRAITS &&
            ledger.crashes.values.none { it.traitCount > CrashLimits.TRAITS_PER_CRASH }
        if (isWithin) return ledger
        val crashes = LinkedHashMap<EngineRun, Crash>()
        for ((run, crash) in ledger.crashes.entries.sortedBy { it.value.at }) {
            val excess = total - CrashLimits.TRAITS
            val limit = minOf(CrashLimits.TRAITS_PER_CRASH, crash.traitCount - excess.coerceAtLeast(0))
            val kept = reduced(run, crash, limit, ledger.recurring)
            total += kept.traitCount - crash.traitCount
            crashes[run] = kept
        }
        return ledger.with(crashes, ledger.lifts)
    }

    /** Keeps digests and traits that other crashes accuse too, and of the others as many as are within [limit]. */
    private fun reduced(run: EngineRun, crash: Crash, limit: Int, recurring: Set<RequestTrait>): Crash {
        if (crash.traitCount <= limit) return crash
        val cleared = crash.cleared.filterTo(HashSet()) { it in recurring }
        val lists = crash.requests.size.coerceAtLeast(1)
        val share = ((limit - cleared.size) / lists).coerceAtLeast(CrashLimits.TRAITS_PER_REQUEST)
        val requests = crash.requests.mapValues { (_, traits) -> sample(run, traits, share, recurring) }
        return Crash(crash.at, requests, cleared)
    }

    /** The traits beyond the known ones are drawn anew for each crash, so that none is always left out. */
    private fun sample(
        run: EngineRun,
        traits: Set<RequestTrait>,
        limit: Int,
        recurring: Set<RequestTrait>,
    ): Set<RequestTrait> {
        if (traits.size <= limit) return traits
        val (known, others) = traits.partition { it is RequestDigest || it in recurring }
        val drawn = others.sortedBy { orderHash("${run.engine.value}/${run.start?.unixMillis}/${it.id}") }
        return (known + drawn).take(limit).toSet()
    }
}
