package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.version.fleet.EngineStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Attributes ends of engines to parts of prompts.
 *
 * A part that ends engines is in a suspect request of each of its crashes and never in a request whose answer begins.
 * All others are cleared by answers: common parts within a fraction of a second, rare ones when their request is sent
 * again. A part that stays accused of several crashes at separate times, of different requests, is blocked until an
 * answer or an operator clears it. Nothing else ends a block, because each attempt to find out may end an engine.
 *
 * Plain functions on [CrashLedger]; `now` is the time of the process's own monotonic clock. They return the same
 * instance if nothing changes.
 */
object CrashAttribution {
    /** Records what this gateway saw of the end of an engine. */
    fun observed(ledger: CrashLedger, observation: CrashObservation, now: Duration): CrashLedger {
        val current = CrashRetention.current(ledger, now)
        val requests = HashMap<AttemptId, Set<PromptPart>>()
        observation.requests.forEach { request ->
            val parts = CrashRetention.boundedParts(current, request.parts)
            requests.merge(CrashRetention.boundedAttempt(request.attempt), parts) { one, two -> one + two }
        }
        val crash = Crash.reduced(now - observation.age, requests, emptySet())
        return added(current, mapOf(observation.run to crash), now)
    }

    /** Records that an answer began (its first event arrived) on a request with [parts], which clears them. */
    fun answerBegan(ledger: CrashLedger, parts: Collection<PromptPart>, now: Duration): CrashLedger {
        if (parts.none { it in ledger.lastAccusations }) return ledger
        return CrashRetention.current(ledger.copy(crashes = ledger.crashes.mapValues { it.value.clear(parts) }), now)
    }

    /** Merges what another process sent. */
    fun merged(ledger: CrashLedger, evidence: CrashEvidence, now: Duration): CrashLedger {
        val current = CrashRetention.current(ledger, now)
        val parts = evidence.parts.map(::PromptPart)
        val crashes = HashMap<EngineRun, Crash>()
        evidence.crashes.forEach { report ->
            val run = report.run()
            val isKnown = current.crashes[run]?.includes(report, parts, now - report.ageMillis.milliseconds) ?: false
            if (!isKnown) crashes[run] = report.crash(parts, now)
        }
        val lifts = mergedLifts(current.lifts, evidence.lifts, now)
        val lifted = if (lifts === current.lifts) current else current.with(applied(lifts, current.crashes), lifts)
        return added(lifted, crashes, now - CrashLimits.reportTime)
    }

    /** Returns what other processes need to know; empty if no engine ended lately and no part is blocked. */
    fun evidence(ledger: CrashLedger, now: Duration): CrashEvidence =
        CrashEvidenceBuilder(CrashRetention.current(ledger, now), now).build()

    /**
     * Returns the block that a request with [parts] meets, or null if it may be sent. While the evidence doesn't tell
     * apart parts that always occurred together, only requests with all of them are blocked. Nor are parts that the
     * answers of this process in [answered] clear.
     */
    fun blocking(
        ledger: CrashLedger,
        parts: Collection<PromptPart>,
        now: Duration,
        answered: AnsweredParts = AnsweredParts(),
    ): BlockedPart? = ledger.explanations
        .firstOrNull { it.blockedFrom <= now && parts.containsAll(it.parts) && !isCleared(ledger, it, answered) }
        ?.let { it.block(it.parts.first(), now) }

    /**
     * Returns the blocked parts, to show them or to lift a block. [blocking] decides about a request. Parts that always
     * occur together are listed once their crashes are as many as the users allow.
     */
    fun blocked(
        ledger: CrashLedger,
        now: Duration,
        answered: AnsweredParts = AnsweredParts(),
    ): Map<PromptPart, BlockedPart> {
        if (ledger.explanations.isEmpty()) return emptyMap()
        return ledger.explanations
            .filter { it.listedFrom != null && it.listedFrom <= now && !isCleared(ledger, it, answered) }
            .flatMap { explanation -> explanation.parts.map { explanation.block(it, now) } }
            .associateBy { it.part }
    }

    /**
     * Clears the parts that explain the crashes although answers of this process from before the crashes clear them,
     * so that processes without such answers learn of it before they block the parts.
     */
    fun clearedBefore(ledger: CrashLedger, answered: AnsweredParts): CrashLedger {
        if (ledger.explanations.isEmpty()) return ledger
        val sound = ledger.explanations.filter { isCleared(ledger, it, answered) }
        if (sound.isEmpty()) return ledger
        val crashes = ledger.crashes.toMutableMap()
        sound.forEach { explanation ->
            explanation.crashes.forEach { run ->
                crashes.computeIfPresent(run) { _, crash ->
                    crash.clear(explanation.parts.filter { answered.answeredBefore(it, crash.at) })
                }
            }
        }
        return ledger.copy(crashes = crashes)
    }

    private fun isCleared(ledger: CrashLedger, explanation: Explanation, answered: AnsweredParts): Boolean {
        val times = explanation.crashes.mapNotNull { ledger.crashes[it]?.at }
        return explanation.parts.all { answered.clears(it, times) }
    }

    /** Whether any of [parts] is accused by a recent crash, or blocked, and nothing has cleared it since. */
    fun isSuspect(ledger: CrashLedger, parts: Collection<PromptPart>, now: Duration): Boolean {
        if (ledger.lastAccusations.isEmpty()) return false
        val oldest = now - CrashLimits.accusationLifetime
        return parts.any { part -> ledger.lastAccusations[part]?.let { it >= oldest } ?: false } ||
            blocking(ledger, parts, now) != null
    }

    /** Records that an operator lifts the block of [part]: crashes up to now no longer accuse it, later ones do. */
    fun lifted(ledger: CrashLedger, part: PromptPart, now: Duration): CrashLedger {
        val lift = Lift((ledger.lifts[part]?.number ?: 0) + 1, now)
        val lifts = ledger.lifts + (part to lift)
        val crashes = ledger.crashes.mapValues { it.value.clear(listOf(part)) }
        return CrashRetention.bounded(ledger.with(crashes, lifts))
    }

    private fun added(ledger: CrashLedger, crashes: Map<EngineRun, Crash>, confirmedAt: Duration): CrashLedger {
        val changed = HashMap<EngineRun, Crash>()
        applied(ledger.lifts, crashes).forEach { (run, crash) ->
            val known = ledger.crashes[run]
            val merged = known?.merge(crash) ?: crash
            if (merged !== known) changed[run] = merged
        }
        if (changed.isEmpty()) return ledger
        val confirmations = changed.keys.associateWith { ledger.confirmedAt[it] ?: confirmedAt }
        return CrashRetention.bounded(
            ledger.copy(crashes = ledger.crashes + changed, confirmedAt = ledger.confirmedAt + confirmations),
        )
    }

    private fun applied(lifts: Map<PromptPart, Lift>, crashes: Map<EngineRun, Crash>): Map<EngineRun, Crash> {
        if (lifts.isEmpty()) return crashes
        return crashes.mapValues { (_, crash) -> crash.clear(lifts.filterValues { it.at >= crash.at }.keys) }
    }

    private fun mergedLifts(
        known: Map<PromptPart, Lift>,
        reports: List<LiftReport>,
        now: Duration,
    ): Map<PromptPart, Lift> {
        val changed = HashMap<PromptPart, Lift>()
        reports.forEach { report ->
            val part = PromptPart(report.part)
            val reported = Lift(report.number, now - report.ageMillis.milliseconds)
            val merged = known[part]?.merge(reported) ?: reported
            if (merged != known[part]) changed[part] = merged
        }
        return if (changed.isEmpty()) known else known + changed
    }

    private fun CrashReport.run() = EngineRun(BackendServer(engine), startUnixMillis?.let(::EngineStart))

    private fun CrashReport.crash(parts: List<PromptPart>, now: Duration): Crash {
        val suspects = requests.associate {
            AttemptId(it.attempt) to it.parts.mapTo(HashSet()) { index -> parts[index] }
        }
        return Crash.reduced(now - ageMillis.milliseconds, suspects, cleared.mapTo(HashSet()) { parts[it] })
    }
}
