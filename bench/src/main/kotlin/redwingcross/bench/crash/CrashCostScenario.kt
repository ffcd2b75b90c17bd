package redwingcross.bench.crash

import redwingcross.process.crash.AnsweredTraits
import redwingcross.process.crash.CrashAttribution
import redwingcross.process.crash.CrashLedger
import redwingcross.process.crash.CrashLimits
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
 * A ledger of [crashes] with [requests] each, of which one has a crashing part, and calls on it. With [hasDigests],
 * each request has a digest of its own.
 */
internal class CrashCostScenario(
    private val crashes: Int,
    private val requests: Int,
    private val parts: Int,
    private val hasDigests: Boolean,
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
            val all = if (index == 0) shared.drop(1) + crashing else shared
            val digests = if (hasDigests) listOf(digest("$number-$index")) else emptyList()
            RequestIdentity(AttemptId("%08x%08x".format(number, index)), (all + digests).toSet())
        }
        return CrashObservation(EngineRun(BackendServer("engine-$number"), EngineStart(START)), suspects)
    }

    companion object {
        /** Bytes of the heap that [AnsweredTraits] of one process takes with the most digests that it keeps. */
        fun answeredBytes(): Long {
            val before = usedBytes()
            val answered = List(ANSWERED_INSTANCES) { instance ->
                AnsweredTraits().apply {
                    repeat(CrashLimits.ANSWERED_TRAITS) { record(listOf(digest("$instance-$it")), it.milliseconds) }
                }
            }
            val bytes = usedBytes() - before
            check(answered.all { it.size == CrashLimits.ANSWERED_TRAITS }) { "the bound was not reached" }
            return bytes / ANSWERED_INSTANCES
        }

        private fun usedBytes(): Long {
            System.gc()
            return Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }

        private fun digest(body: String) = RequestDigest.of("POST", "/bench", null, body.encodeToByteArray())

        /** Enough that other allocations hardly change the mean. */
        private const val ANSWERED_INSTANCES = 20

        /** Parts that requests without the crashing one share. */
        private const val ORDINARY_PARTS = 2_000

        /** 256 crashes within the time for which a crash accuses. */
        private val INTERVAL: Duration = 200.milliseconds
        private const val START = 1_764_900_000_000
    }
}
