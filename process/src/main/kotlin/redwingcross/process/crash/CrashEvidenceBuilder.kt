package redwingcross.process.crash

import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * Selects what fits into one message: first the proofs of blocks, without other requests, then the newest crashes. If
 * crashes are left over, half of the remaining room goes to the others in turn, so that repeated messages carry all of
 * them. A crash that takes more than its share is reduced, so that it keeps no other from being sent.
 */
internal class CrashEvidenceBuilder(private val ledger: CrashLedger, private val now: Duration) {
    private val indices = LinkedHashMap<RequestTrait, Int>()
    private val reports = LinkedHashMap<EngineRun, CrashReport>()
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
        addThoseThatFit(proofs, CrashLimits.EVIDENCE_BYTES) { it.provingOnly() }
        val newest = ledger.crashes.keys.sortedByDescending { ledger.crashes.getValue(it).at } - reports.keys
        addThoseThatFit(newest, (CrashLimits.EVIDENCE_BYTES + bytes) / 2)
        val others = newest.filterNot(reports::containsKey)
        addThoseThatFit(rotation.rotate(others), CrashLimits.EVIDENCE_BYTES)
        return CrashEvidence(indices.keys.map { it.id }, reports.values.toList(), lifts)
    }

    private fun addThoseThatFit(runs: List<EngineRun>, limit: Int, select: (Crash) -> Crash = { it }) {
        for (run in runs.filterNot(reports::containsKey)) {
            withinShare(run, select(ledger.crashes.getValue(run)))?.let { addIfRoom(run, it, limit) }
        }
    }

    /** The crash with those of its requests that prove a block. */
    private fun Crash.provingOnly() = Crash(at, requests.filterValues { it.any(explained::contains) }, cleared)

    private fun addIfRoom(run: EngineRun, crash: Crash, limit: Int) {
        val size = size(run, crash)
        if (bytes + size > limit) return
        bytes += size
        reports[run] = report(run, crash)
    }

    private fun withinShare(run: EngineRun, crash: Crash): Crash? {
        if (size(run, crash) <= share) return crash
        return CrashReduction(share, indices.keys).reduce(run, crash, explained, rotation)
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

    private fun size(run: EngineRun, crash: Crash): Int = EvidenceSize.end(run) +
        crash.accused.sumOf(::sizeIfNew) +
        crash.cleared.sumOf { sizeIfNew(it) + EvidenceSize.INDEX } +
        crash.requests.entries.sumOf { (attempt, traits) -> EvidenceSize.request(attempt, traits.size) }

    private fun sizeIfNew(trait: RequestTrait): Int = if (trait in indices) 0 else EvidenceSize.trait(trait)
}
