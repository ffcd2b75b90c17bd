package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Attributes ends of engines to traits of the requests that were there.
 *
 * A trait that ends engines is in a suspect request of each of its crashes and never in a request whose answer begins.
 * All others are cleared by answers: common traits within a fraction of a second, rare ones when their request is sent
 * again. A trait that stays accused of several crashes at separate times, of different requests, is blocked until an
 * answer or an operator clears it. Nothing else ends a block, because each attempt to find out may end an engine.
 *
 * Plain functions on [CrashLedger]; `now` is the time of the process's own monotonic clock. They return the same
 * instance if nothing changes.
 */
object CrashAttribution {
    /** Records what this gateway saw of the end of an engine; [answered] are the traits that it answered lately. */
    fun observed(
        ledger: CrashLedger,
        observation: CrashObservation,
        now: Duration,
        answered: AnsweredTraits = AnsweredTraits(),
    ): CrashLedger {
        val at = now - observation.age
        val current = CrashRetention.current(ledger, now)
        val requests = HashMap<AttemptId, Set<RequestTrait>>()
        observation.requests.forEach { request ->
            val traits = TraitRetention.suspects(request.traits, at, answered)
            requests.merge(CrashRetention.boundedAttempt(request.attempt), traits) { one, two -> one + two }
        }
        val crash = Crash.reduced(at, requests, emptySet())
        return added(current, mapOf(observation.run to crash), now)
    }

    /** Records that an answer began (its first event arrived) on a request with [traits], which clears them. */
    fun answerBegan(ledger: CrashLedger, traits: Collection<RequestTrait>, now: Duration): CrashLedger {
        if (traits.none { it in ledger.lastAccusations }) return ledger
        return CrashRetention.current(ledger.copy(crashes = ledger.crashes.mapValues { it.value.clear(traits) }), now)
    }

    /** Merges what another process sent. */
    fun merged(ledger: CrashLedger, evidence: CrashEvidence, now: Duration): CrashLedger {
        val current = CrashRetention.current(ledger, now)
        val traits = evidence.traits.map(RequestTrait::of)
        val crashes = HashMap<EngineRun, Crash>()
        evidence.crashes.forEach { report ->
            val run = report.run()
            val isKnown = current.crashes[run]?.includes(report, traits, now - report.ageMillis.milliseconds) ?: false
            if (!isKnown) crashes[run] = report.crash(traits, now)
        }
        val lifts = mergedLifts(current.lifts, evidence.lifts, now)
        val lifted = if (lifts === current.lifts) current else current.with(applied(lifts, current.crashes), lifts)
        return added(lifted, crashes, now - CrashLimits.reportTime)
    }

    /** Returns what other processes need to know; empty if no engine ended lately and no trait is blocked. */
    fun evidence(ledger: CrashLedger, now: Duration): CrashEvidence =
        CrashEvidenceBuilder(CrashRetention.current(ledger, now), now).build()

    /**
     * Returns the block that a request with [traits] meets, or null if it may be sent. While the evidence doesn't tell
     * apart traits that always occurred together, only requests with all of them are blocked. Nor are traits that the
     * answers of this process in [answered] clear.
     */
    fun blocking(
        ledger: CrashLedger,
        traits: Collection<RequestTrait>,
        now: Duration,
        answered: AnsweredTraits = AnsweredTraits(),
    ): BlockedTrait? = ledger.explanations
        .firstOrNull { it.blockedFrom <= now && traits.containsAll(it.traits) && !isCleared(ledger, it, answered) }
        ?.let { it.block(it.traits.first(), now) }

    /**
     * Returns the blocked traits, to show them or to lift a block. [blocking] decides about a request. Traits that
     * always occur together are listed once their crashes are as many as the users allow.
     */
    fun blocked(
        ledger: CrashLedger,
        now: Duration,
        answered: AnsweredTraits = AnsweredTraits(),
    ): Map<RequestTrait, BlockedTrait> {
        if (ledger.explanations.isEmpty()) return emptyMap()
        return ledger.explanations
            .filter { it.listedFrom != null && it.listedFrom <= now && !isCleared(ledger, it, answered) }
            .flatMap { explanation -> explanation.traits.map { explanation.block(it, now) } }
            .associateBy { it.trait }
    }

    /**
     * Clears the traits that explain the crashes although answers of this process from before the crashes clear them,
     * so that processes without such answers learn of it before they block the traits.
     */
    fun clearedBefore(ledger: CrashLedger, answered: AnsweredTraits): CrashLedger {
        if (ledger.explanations.isEmpty()) return ledger
        val sound = ledger.explanations.filter { isCleared(ledger, it, answered) }
        if (sound.isEmpty()) return ledger
        val crashes = ledger.crashes.toMutableMap()
        sound.forEach { explanation ->
            explanation.crashes.forEach { run ->
                crashes.computeIfPresent(run) { _, crash ->
                    crash.clear(explanation.traits.filter { answered.answeredBefore(it, crash.at) })
                }
            }
        }
        return ledger.copy(crashes = crashes)
    }

    private fun isCleared(ledger: CrashLedger, explanation: Explanation, answered: AnsweredTraits): Boolean {
        val times = explanation.crashes.mapNotNull { ledger.crashes[it]?.at }
        return explanation.traits.all { answered.clears(it, times) }
    }

    /** Whether any of [traits] is accused by a recent crash, or blocked, and nothing has cleared it since. */
    fun isSuspect(ledger: CrashLedger, traits: Collection<RequestTrait>, now: Duration): Boolean {
        if (ledger.lastAccusations.isEmpty()) return false
        val oldest = now - CrashLimits.accusationLifetime
        return traits.any { trait -> ledger.lastAccusations[trait]?.let { it >= oldest } ?: false } ||
            blocking(ledger, traits, now) != null
    }

    /** Records that an operator lifts the block of [trait]: crashes up to now no longer accuse it, later ones do. */
    fun lifted(ledger: CrashLedger, trait: RequestTrait, now: Duration): CrashLedger {
        val lift = Lift((ledger.lifts[trait]?.number ?: 0) + 1, now)
        val lifts = ledger.lifts + (trait to lift)
        val crashes = ledger.crashes.mapValues { it.value.clear(listOf(trait)) }
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

    private fun applied(lifts: Map<RequestTrait, Lift>, crashes: Map<EngineRun, Crash>): Map<EngineRun, Crash> {
        if (lifts.isEmpty()) return crashes
        return crashes.mapValues { (_, crash) -> crash.clear(lifts.filterValues { it.at >= crash.at }.keys) }
    }

    private fun mergedLifts(
        known: Map<RequestTrait, Lift>,
        reports: List<LiftReport>,
        now: Duration,
    ): Map<RequestTrait, Lift> {
        val changed = HashMap<RequestTrait, Lift>()
        reports.forEach { report ->
            val trait = RequestTrait.of(report.trait)
            val reported = Lift(report.number, now - report.ageMillis.milliseconds)
            val merged = known[trait]?.merge(reported) ?: reported
            if (merged != known[trait]) changed[trait] = merged
        }
        return if (changed.isEmpty()) known else known + changed
    }

    private fun CrashReport.run() = EngineRun(BackendServer(engine), startUnixMillis?.let(::EngineStart))

    private fun CrashReport.crash(traits: List<RequestTrait>, now: Duration): Crash {
        val suspects = requests.associate {
            AttemptId(it.attempt) to it.traits.mapTo(HashSet()) { index -> traits[index] }
        }
        return Crash.reduced(now - ageMillis.milliseconds, suspects, cleared.mapTo(HashSet()) { traits[it] })
    }
}
