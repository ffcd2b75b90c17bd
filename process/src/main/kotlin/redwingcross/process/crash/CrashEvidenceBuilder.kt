package redwingcross.process.crash

import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * Selects what fits into one message: first the proofs of blocks, without other requests, then the newest crashes as a
 * whole. If crashes are left over, half of the remaining room goes to the others in turn, so that repeated messages
 * carry all of them. A crash that takes more than its share is reduced, so that it keeps no other from being sent.
 */
internal class CrashEvidenceBuilder(private val ledger: CrashLedger, private val now: Duration) {
    private val indices = LinkedHashMap<RequestTrait, Int>()
    private val reports = LinkedHashMap<EngineRun, CrashReport>()
    private val reported = HashMap<EngineRun, Crash>()

    /** Crashes that are reported with all their requests, or with as many as their share admits. */
    private val complete = HashSet<EngineRun>()
    private val rotation = EvidenceRotation(now)
    private val explained = ledger.explanations.flatMapTo(HashSet()) { it.traits }
    private var bytes = ledger.lifts.keys.sumOf(EvidenceSize::lift)

    /** Room that each crash may take; more than the smallest share if there are few crashes. */
    private val share = maxOf(
        CrashLimits.SMALLEST_EVIDENCE_SHARE,
        (CrashLimits.EVIDENCE_BYTES - bytes) / ledger.crashes.size.coerceAtLeast(1),
    )

    fun build(): CrashEvidence {
        val lifts = ledger.lifts.map { (trait, lift) -> LiftReport(trait.id, lift.number, millisSince(lift.at)) }
        val proofs = rotation.rotate(ledger.explanations).flatMap { it.proof }.distinct()
        for (run in proofs) addIfRoom(run, ledger.crashes.getValue(run).provingOnly(), CrashLimits.EVIDENCE_BYTES)
        val newest = ledger.crashes.keys.sortedByDescending { ledger.crashes.getValue(it).at }
        addThoseThatFit(newest, (CrashLimits.EVIDENCE_BYTES + bytes) / 2)
        val others = newest.filterNot(complete::contains)
        addThoseThatFit(rotation.rotate(others), CrashLimits.EVIDENCE_BYTES)
        return CrashEvidence(indices.keys.map { it.id }, reports.values.toList(), lifts)
    }

    private fun addThoseThatFit(runs: List<EngineRun>, limit: Int) {
        for (run in runs.filterNot(complete::contains)) {
            if (addIfRoom(run, ledger.crashes.getValue(run), limit)) complete += run
        }
    }

    /** The crash with those of its requests that prove a block. */
    private fun Crash.provingOnly() = Crash(at, requests.filterValues { it.any(explained::contains) }, cleared)

    /** Adds [crash], or what of it is within the share, in place of an earlier report; returns whether it was added. */
    private fun addIfRoom(run: EngineRun, crash: Crash, limit: Int): Boolean {
        val added = withinShare(run, crash) ?: return false
        val replaced = reported[run]?.let { sizeWithoutTraits(run, it) } ?: 0
        val size = size(run, added) - replaced
        if (bytes + size > limit) return false
        bytes += size
        reported[run] = added
        reports[run] = report(run, added)
        return true
    }

    private fun withinShare(run: EngineRun, crash: Crash): Crash? {
        if (size(run, crash) <= share) return crash
        return CrashReduction(share, indices.keys, ledger.recurring, rotation).reduce(run, crash, explained)
    }

    private fun report(run: EngineRun, crash: Crash) = CrashReport(
        engine = run.engine.value,
        startUnixMillis = run.start?.unixMillis,
        ageMillis = millisSince(crash.at),
        requests = crash.requests.map { (attempt, traits) -> RequestReport(attempt.value, traits.map(::index)) },
        cleared = crash.cleared.map(::index),
    )

    private fun index(trait: RequestTrait): Int = indices.getOrPut(trait) { indices.size }

    private fun millisSince(time: Duration): Long = (now - time).inWholeMilliseconds.coerceAtLeast(0)

    private fun size(run: EngineRun, crash: Crash): Int =
        sizeWithoutTraits(run, crash) + crash.accused.sumOf(::sizeIfNew) + crash.cleared.sumOf(::sizeIfNew)

    /** The traits of a report stay listed when it is replaced. */
    private fun sizeWithoutTraits(run: EngineRun, crash: Crash): Int = EvidenceSize.end(run) +
        crash.cleared.size * EvidenceSize.INDEX +
        crash.requests.entries.sumOf { (attempt, traits) -> EvidenceSize.request(attempt, traits.size) }

    private fun sizeIfNew(trait: RequestTrait): Int = if (trait in indices) 0 else EvidenceSize.trait(trait)
}
