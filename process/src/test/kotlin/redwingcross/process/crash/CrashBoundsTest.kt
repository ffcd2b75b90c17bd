package redwingcross.process.crash

import redwingcross.process.edge.CrashReports
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.PeerCodec
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against callers who fill messages or displace the latest blocks, because they choose the bodies. */
class CrashBoundsTest {
    private val sender = GatewayRecord("edge", 1_796_464_835_120, "10.1.2.3", 7001, "10.1.2.3:8443", "ub-a", 0.25)

    private fun digest(body: String): RequestTrait = RequestDigest.of("POST", "/x", null, body.encodeToByteArray())

    private fun CrashLedger.crash(number: Int, at: Duration, requests: List<Set<RequestTrait>>) =
        CrashAttribution.observed(
            this,
            CrashObservation(
                EngineRun(BackendServer("engine-$number"), EngineStart(1_764_900_000_000)),
                requests.mapIndexed { index, traits ->
                    RequestIdentity(AttemptId("%08x%08x".format(number, index)), traits)
                },
            ),
            at,
        )

    private fun size(evidence: CrashEvidence) = PeerCodec.encode(CrashReports(sender, evidence)).size

    @Test
    fun `the evidence of a full ledger with a digest for each request fits into a message`() {
        val ledger = (0 until CrashLimits.CRASHES).fold(CrashLedger()) { ledger, number ->
            val requests = List(CrashLimits.REQUESTS_PER_CRASH) { index ->
                val parts = List(CrashLimits.TRAITS_PER_REQUEST - 1) { PromptPart("%064x".format(number * 32 + it)) }
                parts.toSet() + digest("$number-$index")
            }
            ledger.crash(number, 200.milliseconds * number, requests)
        }
        assertEquals(CrashLimits.CRASHES, ledger.crashes.size)
        assertTrue(ledger.crashes.values.all { it.requests.size == CrashLimits.REQUESTS_PER_CRASH })
        repeat(8) { turn ->
            val evidence = CrashAttribution.evidence(ledger, 60.seconds + 250.milliseconds * turn)
            val bytes = size(evidence) - size(CrashEvidence())
            assertTrue(bytes in 1..CrashLimits.EVIDENCE_BYTES, "$bytes bytes")
            assertTrue(evidence.crashes.isNotEmpty())
        }
    }

    @Test
    fun `new requests are still blocked when older blocks fill the ledger and the oldest blocks go first`() {
        val deadly = List(BLOCKS) { digest("deadly-$it") }
        val crashes = deadly.flatMapIndexed { index, trait -> List(3) { 5.seconds * index + 1.seconds * it to trait } }
        val ledger = crashes.foldIndexed(CrashLedger()) { number, ledger, (at, trait) ->
            ledger.crash(number, at, listOf(setOf(trait)))
        }
        assertTrue(ledger.crashes.size <= CrashLimits.CRASHES)
        val blocked = CrashAttribution.blocked(ledger, 5.seconds * BLOCKS + 30.seconds).keys
        val kept = deadly.indices.filter { deadly[it] in blocked }
        assertEquals((BLOCKS - kept.size until BLOCKS).toList(), kept, "the newest blocks are kept")
        assertTrue(kept.size >= (CrashLimits.CRASHES - CrashLimits.NEWEST_CRASHES) / 3, "${kept.size} blocks")
    }

    /** Guards against a part that stays unknown because other parts of its prompt fill the bounds. */
    @Test
    fun `a part behind hundreds of new parts is blocked while the ledger and its evidence stay within their bounds`() {
        val deadly = PromptPart("deadly")
        val random = Random(SEED)
        val ledger = (0 until CrashLimits.CRASHES).fold(CrashLedger()) { ledger, number ->
            val requests = List(CrashLimits.REQUESTS_PER_CRASH) { index ->
                val parts = List(LONG_PROMPT) { PromptPart("%08x".format((number * 24 + index) * LONG_PROMPT + it)) }
                (if (index == 0) (parts + deadly).shuffled(random) else parts).toSet() + digest("$number-$index")
            }
            ledger.crash(number, 200.milliseconds * number, requests)
        }
        assertTrue(ledger.crashes.values.all { it.traitCount <= CrashLimits.TRAITS_PER_CRASH })
        assertTrue(ledger.crashes.values.sumOf { it.traitCount } <= CrashLimits.TRAITS)
        assertEquals(setOf<RequestTrait>(deadly), CrashAttribution.blocked(ledger, 60.seconds).keys)
        val received = (0 until 8).fold(CrashLedger()) { received, turn ->
            val now = 60.seconds + 250.milliseconds * turn
            val evidence = CrashAttribution.evidence(ledger, now)
            assertTrue(size(evidence) - size(CrashEvidence()) <= CrashLimits.EVIDENCE_BYTES)
            CrashAttribution.merged(received, evidence, now)
        }
        assertEquals(setOf<RequestTrait>(deadly), CrashAttribution.blocked(received, 70.seconds).keys)
    }

    @Test
    fun `each part of a prompt that exceeds the bounds is kept of some crashes`() {
        val parts = List(CrashLimits.TRAITS_PER_CRASH * 2) { PromptPart("%08x".format(it)) }
        val ledgers = List(16) { CrashLedger().crash(it, 1.seconds, listOf(parts.toSet())) }
        assertTrue(ledgers.all { it.traits().size <= CrashLimits.TRAITS_PER_CRASH })
        assertEquals(parts.size, ledgers.flatMapTo(HashSet()) { it.traits() }.size)
    }

    @Test
    fun `of a long prompt, parts that were answered lately are left out and the others stay in any place`() {
        val parts = List(LONG_PROMPT) { PromptPart("%08x".format(it)) }
        for (place in listOf(0, 15, 16, 64, LONG_PROMPT - 1)) {
            val answered = AnsweredTraits().also { it.record(parts - parts[place], 1.seconds) }
            val request = RequestIdentity(AttemptId("a"), parts.toSet())
            val observation = CrashObservation(EngineRun(BackendServer("engine"), EngineStart(1)), listOf(request))
            val ledger = CrashAttribution.observed(CrashLedger(), observation, 2.seconds, answered)
            assertEquals(setOf<RequestTrait>(parts[place]), ledger.traits())
        }
    }

    private fun CrashLedger.traits() = crashes.values.flatMapTo(HashSet()) { it.accused }

    private companion object {
        const val LONG_PROMPT = 300
        const val SEED = 20270113

        /** Blocks of three crashes each, more than are kept. */
        const val BLOCKS = 90
    }
}
