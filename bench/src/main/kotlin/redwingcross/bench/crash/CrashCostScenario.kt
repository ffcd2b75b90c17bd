package redwingcross.bench.crash

import redwingcross.process.crash.CrashAttribution
import redwingcross.process.crash.CrashLedger
import redwingcross.process.crash.CrashObservation
import redwingcross.process.crash.EngineRun
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestIdentity
import redwingcross.version.fleet.EngineStart
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A [call] to measure on [ledger]; without [reuses], nothing is computed yet for the ledger that it gets. */
internal class MeasuredCall(
    val name: String,
    private val ledger: CrashLedger,
    private val reuses: Boolean,
    val call: (CrashLedger) -> Any?,
) {
    fun input(): CrashLedger = if (reuses) ledger else ledger.copy()
}

/**
 * A ledger of [crashes] with [requests] each, and calls on it. One request of each crash has a crashing part or, if
 * [deadly] isn't 0, is a repeat of one of so many requests. With [hasDigests], requests have digests.
 */
internal class CrashCostScenario(
    private val crashes: Int,
    private val requests: Int,
    private val parts: Int,
    private val hasDigests: Boolean,
    private val deadly: Int,
    seed: Int,
) {
    private val random = Random(seed)
    private val crashing = PromptPart("crashing")
    private val ordinary = List(ORDINARY_PARTS) { PromptPart("%016x".format(random.nextLong())) }
    private val now = INTERVAL * crashes
    private val newest = observation(crashes - 1)
    private val without = (0 until crashes - 1).fold(CrashLedger()) { ledger, number ->
        CrashAttribution.observed(ledger, observation(number), INTERVAL * number)
    }
    private val full = CrashAttribution.observed(without, newest, now)
    private val known = CrashAttribution.evidence(full, now)
    private val unknown = CrashAttribution.evidence(CrashAttribution.observed(CrashLedger(), newest, now), now)

    fun calls(): List<MeasuredCall> = listOf(
        MeasuredCall("observed", without, reuses = true) { CrashAttribution.observed(it, newest, now) },
        MeasuredCall("merged without a change", full, reuses = true) { CrashAttribution.merged(it, known, now) },
        MeasuredCall("merged with a crash more", without, reuses = true) { CrashAttribution.merged(it, unknown, now) },
        MeasuredCall("evidence", full, reuses = true) { CrashAttribution.evidence(it, now) },
        MeasuredCall("evidence of a changed ledger", full, reuses = false) { CrashAttribution.evidence(it, now) },
        MeasuredCall("blocking", full, reuses = true, ::blocking),
        MeasuredCall("blocking by a changed ledger", full, reuses = false, ::blocking),
    )

    private fun blocking(ledger: CrashLedger) = CrashAttribution.blocking(ledger, listOf(crashing), now)

    private fun observation(number: Int): CrashObservation {
        val suspects = List(requests) { index ->
            val shared = List(parts) { ordinary.random(random) }
            val all = if (index == 0 && deadly == 0) shared.drop(1) + crashing else shared
            val body = if (index == 0 && deadly > 0) "deadly-${number % deadly}" else "$number-$index"
            val digests = if (hasDigests) listOf(digest(body)) else emptyList()
            RequestIdentity(AttemptId("%08x%08x".format(number, index)), (all + digests).toSet())
        }
        return CrashObservation(EngineRun(BackendServer("engine-$number"), EngineStart(START)), suspects)
    }

    private companion object {
        fun digest(body: String) = RequestDigest.of("POST", "/bench", null, body.encodeToByteArray())

        /** Parts that requests without the crashing one share. */
        const val ORDINARY_PARTS = 2_000

        /** 256 crashes within the time for which a crash accuses. */
        val INTERVAL: Duration = 200.milliseconds
        const val START = 1_764_900_000_000
    }
}
