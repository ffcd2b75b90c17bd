package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards the decision at single events: what accuses, clears, blocks and lifts. */
class CrashAttributionTest {
    private val crashing = PromptPart("crashing")
    private val first = PromptPart("first")
    private val rare = PromptPart("rare")

    private fun run(number: Int) = EngineRun(BackendServer("engine-$number"), EngineStart(1))

    private fun CrashLedger.crash(number: Int, at: Duration, parts: Set<RequestTrait>, attempt: String = "a$number") =
        CrashAttribution.observed(
            this,
            CrashObservation(run(number), listOf(RequestIdentity(AttemptId(attempt), parts))),
            at,
        )

    private fun CrashLedger.end(number: Int, at: Duration) =
        CrashAttribution.observed(this, CrashObservation(run(number), emptyList()), at)

    private fun CrashLedger.blocks(now: Duration, parts: Set<RequestTrait>) =
        CrashAttribution.blocking(this, parts, now) != null

    private fun blocked() = CrashLedger()
        .crash(1, 10.seconds, setOf(first, crashing))
        .crash(2, 11.seconds, setOf(first, crashing))
        .let { CrashAttribution.answerBegan(it, listOf(first), 11.5.seconds) }
        .crash(3, 12.seconds, setOf(crashing))

    @Test
    fun `an answer without accused parts returns the same ledger`() {
        val ledger = CrashLedger().crash(1, 1.seconds, setOf(crashing))
        assertSame(ledger, CrashAttribution.answerBegan(ledger, listOf(first), 2.seconds))
        val cleared = CrashAttribution.answerBegan(ledger, listOf(crashing), 2.seconds)
        assertSame(cleared, CrashAttribution.answerBegan(cleared, listOf(crashing), 3.seconds))
    }

    @Test
    fun `three crashes block a part once answers had time to clear it`() {
        assertFalse(blocked().blocks(13.seconds, setOf(crashing)))
        assertTrue(blocked().blocks(14.seconds, setOf(crashing, rare)))
        assertFalse(blocked().blocks(14.seconds, setOf(first, rare)))
        val block = CrashAttribution.blocked(blocked(), 14.seconds).getValue(crashing)
        assertEquals(listOf(1, 2, 3).map(::run), block.crashes)
        assertEquals(listOf("a1", "a2", "a3").map(::AttemptId), block.attempts)
        assertEquals(500.milliseconds, block.age)
    }

    @Test
    fun `both engines of a single request don't block its parts`() {
        val ledger =
            (1..4).fold(CrashLedger()) { ledger, number ->
                ledger.crash(number, number.seconds, setOf(rare), attempt = "a")
            }
        assertFalse(ledger.blocks(20.seconds, setOf(rare)))
    }

    @Test
    fun `an answer clears earlier crashes and no later ones`() {
        val cleared = CrashAttribution.answerBegan(blocked(), listOf(crashing), 15.seconds)
        assertFalse(cleared.blocks(16.seconds, setOf(crashing)))
        val again = (4..6).fold(cleared) { ledger, number ->
            ledger.crash(number, 16.seconds + number.seconds, setOf(crashing))
        }
        assertTrue(again.blocks(30.seconds, setOf(crashing)))
    }

    @Test
    fun `a clearing that is passed on and back clears no later crash`() {
        var one = CrashAttribution.answerBegan(CrashLedger().crash(1, 1.seconds, setOf(rare)), listOf(rare), 2.seconds)
        var two = CrashLedger()
        (1..20).forEach { round ->
            val now = 2.seconds + 500.milliseconds * round
            two = CrashAttribution.merged(two, CrashAttribution.evidence(one, now), now + 200.milliseconds)
            one = CrashAttribution.merged(one, CrashAttribution.evidence(two, now), now + 200.milliseconds)
        }
        val crashed = one.crash(2, 2500.milliseconds, setOf(rare))
        assertTrue(CrashAttribution.isSuspect(crashed, listOf(rare), 13.seconds))
    }

    @Test
    fun `the engines of a model that are lost together block nothing`() {
        val lost =
            (1..20).fold(CrashLedger()) { ledger, number ->
                ledger.crash(number, 1.seconds + 10.milliseconds * number, setOf(rare))
            }
        assertNull(CrashAttribution.blocking(lost, listOf(rare), 30.seconds))
        assertTrue(CrashAttribution.blocked(lost, 30.seconds).isEmpty())
    }

    /** Confirmations span the 5 s until the list lacks the engines; no answer clears the common part. */
    @Test
    fun `engines that end at one instant and are confirmed over 5 s block nothing`() {
        val lost = (1..20).fold(EngineEndState()) { state, number ->
            val suspect = RequestIdentity(AttemptId("a$number"), setOf(first))
            val message = EngineEndMessage.ConnectionLost(run(number), null, suspect.attempt, suspect)
            EngineEndDetector.step(state, message, 1.seconds).state
        }
        var state = lost
        var ledger = CrashLedger()
        (1..20).forEach { number ->
            val now = 1.seconds + 240.milliseconds * number
            val next = EngineEndDetector.step(state, EngineEndMessage.NotConnected(run(number).engine), now)
            state = next.state
            ledger = next.effects.fold(ledger) { known, crash -> CrashAttribution.observed(known, crash, now) }
        }
        assertEquals(20, ledger.crashes.size)
        val blocks = (0..100).map { 1.seconds + 100.milliseconds * it }.filter { ledger.blocks(it, setOf(first)) }
        assertEquals(emptyList(), blocks)
        assertTrue(CrashAttribution.blocked(ledger, 11.seconds).isEmpty())
    }

    private fun CrashLedger.lateCrash(number: Int, at: Duration, now: Duration, parts: Set<RequestTrait>): CrashLedger {
        val suspect = RequestIdentity(AttemptId("a$number"), parts)
        return CrashAttribution.observed(this, CrashObservation(run(number), listOf(suspect), now - at), now)
    }

    /** Only answers after the confirmation clear the part, and those of other gateways arrive later still. */
    @Test
    fun `a crash that is confirmed late blocks a part once answers had time to clear it`() {
        val crashed = CrashLedger().crash(1, 10.seconds, setOf(crashing)).crash(2, 11.seconds, setOf(crashing))
        val ledger = crashed.lateCrash(3, 12.seconds, 16.seconds, setOf(crashing))
        assertEquals(12.seconds, ledger.crashes.getValue(run(3)).at)
        assertFalse(ledger.blocks(17.4.seconds, setOf(crashing)))
        assertTrue(ledger.blocks(17.5.seconds, setOf(crashing)))
        val evidence = CrashAttribution.evidence(ledger, 16.1.seconds)
        val other = CrashAttribution.merged(crashed, evidence, 16.5.seconds)
        assertFalse(other.blocks(17.4.seconds, setOf(crashing)))
        assertTrue(other.blocks(17.5.seconds, setOf(crashing)))
    }

    @Test
    fun `crashes that are confirmed late don't interrupt a block`() {
        val ledger = blocked().lateCrash(4, 9.seconds, 14.seconds, setOf(crashing))
        assertTrue(ledger.blocks(14.seconds, setOf(crashing)))
        val amidOthers = (5..9).fold(ledger) { known, number ->
            known.lateCrash(number, 12.seconds, 14.seconds, setOf(PromptPart("other-$number")))
        }
        assertTrue(amidOthers.blocks(14.seconds, setOf(crashing)))
    }

    @Test
    fun `a later crash that another part explains doesn't interrupt a block`() {
        val other = PromptPart("other")
        val known = (11..14).fold(CrashLedger()) { ledger, number ->
            ledger.crash(number, number.seconds, setOf(other))
        }
        val ledger = known
            .crash(1, 30.seconds, setOf(crashing))
            .crash(2, 30.1.seconds, setOf(crashing))
            .crash(3, 30.4.seconds, setOf(crashing))
        assertTrue(ledger.blocks(32.seconds, setOf(crashing)))
        val requests =
            listOf(RequestIdentity(AttemptId("b1"), setOf(crashing)), RequestIdentity(AttemptId("b2"), setOf(other)))
        val later = CrashAttribution.observed(ledger, CrashObservation(run(4), requests), 32.5.seconds)
        assertTrue(later.blocks(32.6.seconds, setOf(crashing)))
    }

    @Test
    fun `later ends of other engines don't end a block`() {
        val ledger = (10..30).fold(blocked()) { ledger, number ->
            ledger.end(
                number,
                14.seconds + 100.milliseconds * number,
            )
        }
        assertTrue(ledger.blocks(20.seconds, setOf(crashing)))
    }

    @Test
    fun `parts that always occur together are blocked together until one is told apart`() {
        val together =
            (1..3).fold(CrashLedger()) { ledger, number -> ledger.crash(number, number.seconds, setOf(crashing, rare)) }
        assertTrue(together.blocks(6.seconds, setOf(crashing, rare)))
        assertFalse(together.blocks(6.seconds, setOf(rare)))
        assertTrue(CrashAttribution.blocked(together, 6.seconds).isEmpty())
        val apart = together.crash(4, 6.seconds, setOf(crashing))
        assertTrue(apart.blocks(6.seconds, setOf(crashing)))
        assertFalse(apart.blocks(9.seconds, setOf(rare)))
    }

    @Test
    fun `parts that occur together in as many crashes as the users allow are listed`() {
        val together =
            (1..5).fold(CrashLedger()) { ledger, number -> ledger.crash(number, number.seconds, setOf(crashing, rare)) }
        assertEquals(setOf(crashing, rare), CrashAttribution.blocked(together, 7.seconds).keys)
    }

    @Test
    fun `a crash accuses for a minute unless its parts crash again`() {
        val once = CrashLedger().crash(1, 1.seconds, setOf(rare))
        assertTrue(CrashAttribution.isSuspect(once, listOf(rare), 60.seconds))
        assertFalse(CrashAttribution.isSuspect(once, listOf(rare), 62.seconds))
        assertEquals(setOf(run(2)), once.crash(2, 70.seconds, setOf(crashing)).crashes.keys)
        val slow = once.crash(2, 50.seconds, setOf(rare)).crash(3, 100.seconds, setOf(rare))
        assertTrue(slow.blocks(102.seconds, setOf(rare)))
    }

    @Test
    fun `a block stands for an hour and reaches a process that starts`() {
        val ledger = blocked().end(9, 60.minutes)
        val evidence = CrashAttribution.evidence(ledger, 60.minutes)
        val started = CrashAttribution.merged(CrashLedger(), evidence, 1.seconds)
        assertTrue(started.blocks(1.seconds, setOf(crashing)))
        assertFalse(started.blocks(1.seconds, setOf(first)))
    }

    @Test
    fun `a lift ends a block everywhere until later crashes`() {
        val other = CrashAttribution.merged(CrashLedger(), CrashAttribution.evidence(blocked(), 15.seconds), 15.seconds)
        val lifted = CrashAttribution.lifted(blocked(), crashing, 20.seconds)
        assertFalse(lifted.blocks(21.seconds, setOf(crashing)))
        val merged = CrashAttribution.merged(other, CrashAttribution.evidence(lifted, 21.seconds), 21.seconds)
        assertFalse(merged.blocks(21.seconds, setOf(crashing)))
        val stale = CrashAttribution.merged(lifted, CrashAttribution.evidence(other, 22.seconds), 22.seconds)
        assertFalse(stale.blocks(23.seconds, setOf(crashing)))
        val again = (4..6).fold(merged) { ledger, number ->
            ledger.crash(number, 21.seconds + number.seconds, setOf(crashing))
        }
        assertNotNull(CrashAttribution.blocking(again, listOf(crashing), 30.seconds))
    }

    @Test
    fun `evidence with an unknown part or a negative age is rejected`() {
        val request = RequestReport("a", listOf(1))
        assertFailsWith<IllegalArgumentException> {
            CrashEvidence(listOf("p"), listOf(CrashReport("e", 1, 0, listOf(request), emptyList())))
        }
        assertFailsWith<IllegalArgumentException> { CrashEvidence(lifts = listOf(LiftReport("p", 1, -1))) }
    }
}
