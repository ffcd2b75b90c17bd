package redwingcross.process.crash

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import redwingcross.process.edge.CrashReports
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.PeerCodec
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against replicas that disagree after merging in different orders, and against growth without bound. */
class CrashMergeProperties {
    private val now = 30.seconds
    private val sender =
        GatewayRecord("edge-ub-a-1", 1_796_464_835_120, "10.101.102.103", 7001, "10.101.102.103:8443", "ub-a", 0.25)

    @Property(seed = "20261215", tries = 300, shrinking = ShrinkingMode.OFF)
    fun `replicas that merge the same evidence in any order agree`(@ForAll seed: Long) {
        val random = Random(seed)
        val evidence = List(8) { CrashAttribution.evidence(drawnLedger(random), now) }
        val one = evidence.shuffled(random).fold(CrashLedger(), ::merge)
        val two = (evidence + evidence.take(3)).shuffled(random).fold(CrashLedger(), ::merge)
        assertEquals(one, two)
        assertEquals(CrashAttribution.blocked(one, now), CrashAttribution.blocked(two, now))
        val relayed = merge(CrashLedger(), CrashAttribution.evidence(two, now))
        assertEquals(one.crashes.keys, merge(relayed, CrashAttribution.evidence(one, now)).crashes.keys)
        assertSame(one, merge(one, evidence.random(random)))
    }

    @Property(seed = "20261216", tries = 1, shrinking = ShrinkingMode.OFF)
    fun `thousands of new parts neither end a block nor grow the ledger or the evidence`(@ForAll seed: Long) {
        val random = Random(seed)
        val crashing = PromptPart("crashing")
        var ledger = CrashLedger()
        repeat(3) { ledger = observe(ledger, it, setOf(crashing), (1 + it).seconds) }
        var started = CrashLedger()
        repeat(600) { number ->
            val time = 10.seconds + 20.milliseconds * number
            val parts = List(40) { PromptPart("attacker-${random.nextInt()}") }.toSet()
            ledger = observe(ledger, 100 + number, parts, time)
            if (number % 100 == 99) {
                val evidence = CrashAttribution.evidence(ledger, time)
                val bytes = encoded(evidence).size
                assertTrue(bytes <= DATAGRAM_BYTES, "message of $bytes bytes")
                started = CrashAttribution.merged(CrashLedger(), evidence, time)
            }
        }
        assertTrue(ledger.crashes.size <= CrashLimits.CRASHES)
        assertTrue(ledger.crashes.values.all { crash -> crash.traitCount <= CrashLimits.TRAITS_PER_CRASH })
        assertTrue(ledger.crashes.values.sumOf { it.traitCount } <= CrashLimits.TRAITS)
        assertEquals(setOf(crashing), CrashAttribution.blocked(ledger, 60.seconds).keys)
        assertEquals(setOf(crashing), CrashAttribution.blocked(started, 60.seconds).keys)
    }

    /** Guards against messages that exceed the datagram, which the network drops, and against fields that get lost. */
    @Property(seed = "20261217", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `evidence of any ledger fits into a datagram and arrives as it was sent`(@ForAll seed: Long) {
        val evidence = CrashAttribution.evidence(fullLedger(Random(seed)), now)
        val message = encoded(evidence)
        assertTrue(message.size <= DATAGRAM_BYTES, "message of ${message.size} bytes")
        assertEquals(CrashReports(sender, evidence), PeerCodec.decode(message))
    }

    @Example
    fun `evidence of lifts alone arrives as it was sent`() {
        val evidence = CrashEvidence(lifts = listOf(LiftReport("a1", 1, 100)))
        assertEquals(CrashReports(sender, evidence), PeerCodec.decode(encoded(evidence)))
    }

    /** Guards against a crash that fills the message, so that parts stay unblocked at other processes. */
    @Example
    fun `a crash with long ids neither hides others nor stays unsent`() {
        val crashing = PromptPart("c".repeat(64))
        val long = List(3) { "x".repeat(16_000) + it }
        for (oversized in listOf(long, long.map { it.replace('x', '\u00E9') })) {
            var ledger = CrashLedger()
            repeat(3) { number ->
                val own = RequestIdentity(AttemptId(oversized[number]), setOf(crashing))
                val others = manyRequests(number).filterIndexed { index, _ -> index > 0 }
                ledger = observe(ledger, number, others + own, (1 + number).seconds)
            }
            assertEquals(setOf(crashing), CrashAttribution.blocked(ledger, 10.seconds).keys)
            ledger = observe(ledger, 3, setOf(PromptPart("rare")), 10.seconds)
            ledger = observe(ledger, 4, manyRequests(4), 11.seconds)
            val evidence = CrashAttribution.evidence(ledger, 12.seconds)
            val message = encoded(evidence)
            assertTrue(message.size <= DATAGRAM_BYTES, "message of ${message.size} bytes")
            assertEquals(CrashReports(sender, evidence), PeerCodec.decode(message))
            assertTrue("engine-3" in evidence.crashes.map { it.engine }, "a small crash is sent beside large ones")
            val started = CrashAttribution.merged(CrashLedger(), evidence, 12.seconds)
            assertEquals(setOf(crashing), CrashAttribution.blocked(started, 12.seconds).keys)
        }
    }

    @Example
    fun `repeated messages carry all requests and cleared parts of a crash that is too large for one`() {
        val requests = manyRequests(1)
        val seen = observe(CrashLedger(), 1, requests, 1.seconds)
        val ledger = CrashAttribution.answerBegan(seen, requests.first().traits, 2.seconds)
        val started = (0 until 96).fold(CrashLedger()) { received, repeat ->
            val time = 3.seconds + 250.milliseconds * repeat
            CrashAttribution.merged(received, CrashAttribution.evidence(ledger, time), time)
        }
        val known = ledger.crashes.values.single()
        val received = started.crashes.values.singleOrNull()
        assertTrue(known.requests == received?.requests, "${received?.requests?.size} requests are complete")
        assertTrue(known.cleared == received?.cleared, "${received?.cleared?.size} cleared parts")
    }

    @Example
    fun `attempts with long ids that begin alike stay apart`() {
        val begin = "x".repeat(100)
        val ledger = observe(
            CrashLedger(),
            1,
            listOf("1", "2", "1").map { RequestIdentity(AttemptId(begin + it), setOf(PromptPart("p"))) },
            1.seconds,
        )
        val attempts = ledger.crashes.values.single().requests.keys
        assertEquals(2, attempts.size)
        assertTrue(attempts.all { it.value.length <= CrashLimits.ATTEMPT_CHARACTERS })
    }

    /** As many requests as are kept of a crash, each with the most parts, of the longest ids. */
    private fun manyRequests(seed: Int): List<RequestIdentity> {
        val random = Random(seed)
        return List(CrashLimits.REQUESTS_PER_CRASH) {
            val parts = List(CrashLimits.TRAITS_PER_REQUEST) { PromptPart(hexadecimal(random, 64)) }
            RequestIdentity(AttemptId(hexadecimal(random, 16)), parts.toSet())
        }
    }

    private fun merge(ledger: CrashLedger, evidence: CrashEvidence) = CrashAttribution.merged(ledger, evidence, now)

    private fun observe(ledger: CrashLedger, number: Int, parts: Set<RequestTrait>, time: Duration): CrashLedger =
        observe(ledger, number, listOf(RequestIdentity(AttemptId("9c41d07b%08x".format(number)), parts)), time)

    private fun observe(
        ledger: CrashLedger,
        number: Int,
        requests: List<RequestIdentity>,
        time: Duration,
    ): CrashLedger {
        val run = EngineRun(BackendServer("engine-$number"), EngineStart(1_764_900_000_000))
        return CrashAttribution.observed(ledger, CrashObservation(run, requests), time)
    }

    private fun drawnLedger(random: Random): CrashLedger {
        var ledger = CrashLedger()
        repeat(random.nextInt(12)) {
            val number = random.nextInt(10)
            val time = 10.seconds + 500.milliseconds * number
            val parts = List(random.nextInt(1, 4)) { PromptPart("part-${random.nextInt(6)}") }.toSet()
            ledger = observe(ledger, number, parts, time)
            if (random.nextInt(4) == 0) ledger = CrashAttribution.answerBegan(ledger, parts.take(1), time)
            if (random.nextInt(20) == 0) ledger = CrashAttribution.lifted(ledger, parts.first(), 15.seconds)
        }
        return ledger
    }

    /** A ledger as full as it gets: ends of engines with no, few or many requests, clearings, and lifts. */
    private fun fullLedger(random: Random): CrashLedger {
        val mostRequests = random.nextInt(CrashLimits.REQUESTS_PER_CRASH + 1)
        val mostParts = random.nextInt(1, CrashLimits.TRAITS_PER_REQUEST)
        val ids = List(random.nextInt(1, 400)) { PromptPart(hexadecimal(random, random.nextInt(1, 65))) }
        var ledger = CrashLedger()
        repeat(random.nextInt(1, CrashLimits.CRASHES)) { number ->
            val run = EngineRun(BackendServer("i-%010x".format(number)), EngineStart(1_796_464_835_120 + number))
            val requests = List(random.nextInt(mostRequests + 1)) {
                RequestIdentity(AttemptId(hexadecimal(random, 16)), List(mostParts) { ids.random(random) }.toSet())
            }
            val time = 10.seconds + 50.milliseconds * number
            ledger = CrashAttribution.observed(ledger, CrashObservation(run, requests), time)
            if (random.nextInt(4) ==
                0
            ) {
                ledger = CrashAttribution.answerBegan(ledger, List(4) { ids.random(random) }, time)
            }
        }
        val lifts = if (random.nextBoolean()) ids.shuffled(random).take(CrashLimits.LIFTS) else emptyList()
        return lifts.fold(ledger) { lifted, part -> CrashAttribution.lifted(lifted, part, now) }
    }

    private fun hexadecimal(random: Random, digits: Int) =
        String(CharArray(digits) { "0123456789abcdef".random(random) })

    private fun encoded(evidence: CrashEvidence): ByteArray = PeerCodec.encode(CrashReports(sender, evidence))

    private companion object {
        /** Bound of a message that [CrashLimits.EVIDENCE_BYTES] leaves room for. */
        const val DATAGRAM_BYTES = 8_000
    }
}
