package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNotSame
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a common part that is blocked because all engines that could answer it were lost at once. */
class AnsweredTraitsTest {
    private val common = PromptPart("c0")
    private val crashing = PromptPart("cc")
    private val answered = AnsweredTraits().also { it.record(listOf(common), 1.seconds) }

    /** Three engines end at times 1 s apart, each under a request with [parts]. */
    private fun crashed(from: Duration, parts: List<RequestTrait>): CrashLedger =
        (0 until 3).fold(CrashLedger()) { ledger, number ->
            val at = from + 1.seconds * number
            val request = RequestIdentity(AttemptId("attempt-$number"), parts.toSet())
            val run = EngineRun(BackendServer("engine-$number"), EngineStart(1))
            CrashAttribution.observed(ledger, CrashObservation(run, listOf(request)), at)
        }

    private fun blocking(ledger: CrashLedger, now: Duration, parts: List<RequestTrait>) =
        CrashAttribution.blocking(ledger, parts, now, answered)

    @Test
    fun `a part that was answered shortly before the crashes is neither blocked nor listed`() {
        val ledger = crashed(2.seconds, listOf(common))
        assertNotNull(CrashAttribution.blocking(ledger, listOf(common), 20.seconds))
        assertNull(blocking(ledger, 20.seconds, listOf(common)))
        assertEquals(emptyMap(), CrashAttribution.blocked(ledger, 20.seconds, answered))
    }

    @Test
    fun `a part that was never answered is blocked with a common part and alone`() {
        assertNotNull(blocking(crashed(2.seconds, listOf(common, crashing)), 20.seconds, listOf(common, crashing)))
        assertNotNull(blocking(crashed(2.seconds, listOf(crashing)), 20.seconds, listOf(crashing)))
    }

    @Test
    fun `a part that engines no longer stand is blocked by crashes well after its last answer`() {
        val from = 1.seconds + CrashLimits.answerLifetime + 1.milliseconds
        assertNotNull(blocking(crashed(from, listOf(common)), 30.seconds, listOf(common)))
    }

    @Test
    fun `a process without answers learns that a part was answered before the crashes`() {
        val ledger = crashed(2.seconds, listOf(common))
        val cleared = CrashAttribution.clearedBefore(ledger, answered)
        assertNotSame(ledger, cleared)
        assertSame(cleared, CrashAttribution.clearedBefore(cleared, answered))
        val evidence = CrashAttribution.evidence(cleared, 5.seconds)
        assertNull(
            CrashAttribution.blocking(CrashAttribution.merged(ledger, evidence, 5.seconds), listOf(common), 20.seconds),
        )
        val unknown = crashed(2.seconds, listOf(crashing))
        assertSame(unknown, CrashAttribution.clearedBefore(unknown, answered))
    }

    @Test
    fun `the oldest answers are dropped, so that callers can't fill the memory with parts`() {
        val parts = AnsweredTraits()
        repeat(CrashLimits.ANSWERED_TRAITS * 2) { parts.record(listOf(PromptPart("p$it"), common), it.milliseconds) }
        assertEquals(CrashLimits.ANSWERED_TRAITS, parts.size)
        assertEquals(true, parts.answeredBefore(common, 1.seconds))
        assertEquals(false, parts.answeredBefore(PromptPart("p0"), 1.seconds))
    }

    @Test
    fun `prompts of many new parts do not displace a part that requests share`() {
        val parts = AnsweredTraits()
        repeat(100) { request ->
            val time = 100.milliseconds * request
            if (request % 20 < 2) parts.record(listOf(common), time)
            parts.record(List(600) { PromptPart("p$request-$it") }, time)
        }
        assertEquals(true, parts.answeredBefore(common, 10.seconds))
    }
}
