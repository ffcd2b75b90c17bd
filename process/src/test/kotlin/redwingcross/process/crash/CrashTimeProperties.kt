package redwingcross.process.crash

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.version.fleet.EngineStart
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against replicas that decide differently because each noticed the same crashes at its own times and had its
 * own requests there, and against changes of the ledger, thus messages, without end.
 */
class CrashTimeProperties {
    private val now = 30.seconds
    private val crashing = PromptPart("crashing")

    @Property(seed = "20261220", tries = 300, shrinking = ShrinkingMode.OFF)
    fun `replicas with their own times and requests of the same crashes agree after merging`(@ForAll seed: Long) {
        val random = Random(seed)
        val evidence = List(REPLICAS) { CrashAttribution.evidence(drawnLedger(it, random), now) }
        val one = evidence.shuffled(random).fold(CrashLedger(), ::merge)
        val two = evidence.shuffled(random).fold(CrashLedger(), ::merge)
        assertEquals(one.withoutTimes(), two.withoutTimes())
        one.crashes.forEach { (run, crash) -> assertClose(crash.at, two.crashes.getValue(run).at, "$run") }
        assertEquals(CrashAttribution.blocked(one, now).keys, CrashAttribution.blocked(two, now).keys)
        assertTrue(crashing in CrashAttribution.blocked(one, now).keys)
        one.explanations.zip(two.explanations) { a, b -> assertClose(a.blockedFrom, b.blockedFrom, "${a.traits}") }
        val delay = random.nextInt(500).milliseconds
        evidence.forEach { assertSame(one, CrashAttribution.merged(one, it, now + delay), "repeated $delay later") }
    }

    @Example
    fun `the time of a crash is that of the earliest report, up to the tolerance`() {
        val times = listOf(30, 15, 0).map { it.milliseconds }
        assertEquals(0.milliseconds, mergedTime(times))
        assertEquals(15.milliseconds, mergedTime(listOf(times[1], times[0], times[2])))
        assertNotEquals(30.milliseconds, mergedTime(times.reversed()))
    }

    private fun mergedTime(times: List<Duration>): Duration =
        times.map { Crash(it, mapOf(AttemptId("a") to setOf(crashing))) }.reduce(Crash::merge).at

    private fun assertClose(one: Duration, two: Duration, what: String) {
        assertTrue((one - two).absoluteValue <= CrashLimits.timeTolerance, "$what: $one and $two")
    }

    private fun merge(ledger: CrashLedger, evidence: CrashEvidence) = CrashAttribution.merged(ledger, evidence, now)

    private fun CrashLedger.withoutTimes() = crashes.mapValues { it.value.copy(at = Duration.ZERO) }

    /**
     * What one replica saw of the crashes of some engines. The grid of the times and the differences between replicas
     * keep the times between crashes off the thresholds, at which replicas may decide differently.
     */
    private fun drawnLedger(replica: Int, random: Random): CrashLedger {
        var ledger = CrashLedger()
        for (number in (0 until ENGINES).filter { replica == 0 || random.nextInt(4) > 0 }) {
            val time = 10.seconds + GRID * number + random.nextInt(41).milliseconds
            val run = EngineRun(BackendServer("engine-$number"), EngineStart(1))
            val requests = List(random.nextInt(1, 4)) { request(number, replica, random) }
            ledger = CrashAttribution.observed(ledger, CrashObservation(run, requests), time)
            val answered = PromptPart("part-${random.nextInt(PARTS)}")
            if (random.nextInt(8) == 0) ledger = CrashAttribution.answerBegan(ledger, listOf(answered), time + GRID / 2)
        }
        return ledger
    }

    /** Draws an attempt of a few, some of which were at two replicas; its parts follow from it. */
    private fun request(engine: Int, replica: Int, random: Random): RequestIdentity {
        val number = engine * 10 + (replica + random.nextInt(2)) % REPLICAS
        val drawn = Random(number)
        val sound = List(drawn.nextInt(1, 3)) { PromptPart("part-${drawn.nextInt(PARTS)}") }.toSet()
        return RequestIdentity(AttemptId("attempt-$number"), if (engine < CRASHING_ENGINES) sound + crashing else sound)
    }

    private companion object {
        const val REPLICAS = 5
        const val ENGINES = 10
        const val CRASHING_ENGINES = 8
        const val PARTS = 30

        /** No multiple is within 80 ms of a threshold of [CrashLimits]. */
        val GRID = 700.milliseconds
    }
}
