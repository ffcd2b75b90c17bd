package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.version.routing.orderHash
import kotlin.time.Duration

/** Drops crashes and lifts that are out of date, or more than are kept. What proves a block stays longest. */
internal object CrashRetention {
    /** Returns [ledger] without crashes whose traits saw no other crash lately, or [ledger] itself. */
    fun current(ledger: CrashLedger, now: Duration): CrashLedger {
        val oldest = now - CrashLimits.accusationLifetime
        val lifts = ledger.lifts.filterValues { it.at >= now - CrashLimits.liftLifetime }
        if (lifts.size == ledger.lifts.size && ledger.crashes.values.none { it.at < oldest }) return ledger
        val proofs = proofs(ledger)
        val crashes =
            ledger.crashes.filter { (run, crash) ->
                crash.at >= oldest ||
                    run in proofs ||
                    crash.accused.any { ledger.lastAccusations.getValue(it) >= oldest }
            }
        if (lifts.size == ledger.lifts.size && crashes.size == ledger.crashes.size) return ledger
        return ledger.with(crashes, lifts)
    }

    /** Returns [ledger] with no more crashes, traits and lifts than are kept. */
    fun bounded(ledger: CrashLedger): CrashLedger = TraitRetention.bounded(withinCounts(ledger))

    private fun withinCounts(ledger: CrashLedger): CrashLedger {
        val isWithin = ledger.crashes.size <= CrashLimits.CRASHES && ledger.lifts.size <= CrashLimits.LIFTS
        if (isWithin) return ledger
        val lifts = ledger.lifts.entries.sortedByDescending { it.value.at }.take(CrashLimits.LIFTS)
        return ledger.with(boundedCrashes(ledger), lifts.associate { it.key to it.value })
    }

    /** Keeps the newest crashes, because a new block needs several, and of the others those that prove blocks. */
    private fun boundedCrashes(ledger: CrashLedger): Map<EngineRun, Crash> {
        if (ledger.crashes.size <= CrashLimits.CRASHES) return ledger.crashes
        val proofs = proofs(ledger)
        val byTime = ledger.crashes.entries.sortedByDescending { it.value.at }
        val others = byTime
            .drop(CrashLimits.NEWEST_CRASHES)
            .sortedWith(
                compareByDescending<Map.Entry<EngineRun, Crash>> { it.key in proofs }
                    .thenByDescending { it.value.accused.isNotEmpty() }
                    .thenByDescending { it.value.at },
            )
        val kept = byTime.take(CrashLimits.NEWEST_CRASHES) + others
        return kept.take(CrashLimits.CRASHES).associate { it.key to it.value }
    }

    /**
     * Returns [attempt] with an id of bounded length; a hash of the whole id keeps attempts with the same beginning
     * apart. All processes shorten alike, so that an attempt that is sent twice counts once.
     */
    fun boundedAttempt(attempt: AttemptId): AttemptId {
        val id = attempt.value
        if (id.length <= CrashLimits.ATTEMPT_CHARACTERS) return attempt
        val hash = orderHash(id).toHexString()
        return AttemptId(id.take(CrashLimits.ATTEMPT_CHARACTERS - hash.length - 1) + "~" + hash)
    }

    private fun proofs(ledger: CrashLedger): Set<EngineRun> = ledger.explanations.flatMapTo(HashSet()) { it.proof }
}
