package redwingcross.process.crash

import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * What a process knows of ended engines and of the requests that were at them. Times are those of the process's own
 * clock. Each process holds a replica. While no bound of [CrashLimits] is exceeded, replicas that have merged the same
 * evidence in any order agree on everything but times, which differ by up to [CrashLimits.timeTolerance] besides delays
 * of messages. A block may begin that much earlier or later, and replicas may decide differently if the time between
 * two crashes is that close to a threshold.
 */
data class CrashLedger(
    val crashes: Map<EngineRun, Crash> = emptyMap(),
    val lifts: Map<RequestTrait, Lift> = emptyMap(),
    /** When each crash was confirmed, as far as this process can tell: reports carry the time of the crash only. */
    val confirmedAt: Map<EngineRun, Duration> = emptyMap(),
) {
    /** Last crash that accuses each trait. */
    internal val lastAccusations: Map<RequestTrait, Duration> by lazy {
        val last = HashMap<RequestTrait, Duration>()
        crashes.values.forEach { crash -> crash.accused.forEach { last.merge(it, crash.at, ::maxOf) } }
        last
    }

    /** Traits that more than one crash accuses. */
    internal val recurring: Set<RequestTrait> by lazy {
        val seen = HashSet<RequestTrait>()
        crashes.values.flatMapTo(HashSet()) { crash -> crash.accused.filterNot(seen::add) }
    }

    /** Traits that explain the crashes, computed once. */
    internal val explanations: List<Explanation> by lazy { CrashExplanation(this).explanations() }

    /** Returns this ledger with other [crashes], all of them known, and [lifts]. */
    internal fun with(crashes: Map<EngineRun, Crash>, lifts: Map<RequestTrait, Lift>): CrashLedger =
        CrashLedger(crashes, lifts, confirmedAt.filterKeys { it in crashes })

    /**
     * Time since which answers can clear the traits of the crash of [run]: the time of the crash, or of its
     * confirmation if that was late. No process relates answers to a crash that it doesn't know.
     */
    internal fun clearableSince(run: EngineRun): Duration {
        val at = crashes.getValue(run).at
        val confirmed = confirmedAt[run] ?: return at
        val delay = confirmed - at
        val isLate = delay > CrashLimits.promptConfirmationTime && delay <= CrashLimits.longestConfirmationTime
        return if (isLate) confirmed else at
    }
}
