package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.version.fleet.EngineStart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that ends engine after engine, because each of its repeats counts as a new request. */
class WholeRequestTest {
    private val common = PromptPart("c0")
    private val repeated = digest("repeated")

    private fun digest(body: String) = RequestDigest.of("POST", "/x", null, body.encodeToByteArray())

    private fun run(number: Int) = EngineRun(BackendServer("engine-$number"), EngineStart(1))

    /** The end of engine [number] at [at] under requests whose traits are given by their attempts. */
    private fun CrashLedger.crash(number: Int, at: Duration, vararg requests: Pair<String, Set<RequestTrait>>) =
        CrashAttribution.observed(
            this,
            CrashObservation(
                run(number),
                requests.map { (attempt, traits) ->
                    RequestIdentity(AttemptId(attempt), traits)
                },
            ),
            at,
        )

    private fun CrashLedger.blocks(now: Duration, vararg traits: RequestTrait) =
        CrashAttribution.blocking(this, traits.toSet(), now) != null

    /** Three engines end at two separate times under two attempts of one request. */
    private fun repeatedThrice() = CrashLedger()
        .crash(1, 10.seconds, "a1" to setOf(common, repeated))
        .crash(2, 10.1.seconds, "a1" to setOf(common, repeated))
        .crash(3, 11.seconds, "a2" to setOf(common, repeated))

    @Test
    fun `a request that ended three engines in two attempts is blocked alone`() {
        val ledger = repeatedThrice()
        assertFalse(ledger.blocks(11.7.seconds, common, repeated))
        assertTrue(ledger.blocks(11.8.seconds, common, repeated))
        assertFalse(ledger.blocks(20.seconds, common, digest("other")), "another request with the same prompt part")
        assertEquals(setOf<RequestTrait>(repeated), CrashAttribution.blocked(ledger, 20.seconds).keys)
    }

    @Test
    fun `a part that ends engines under different requests is blocked although one of them was repeated`() {
        val ledger = repeatedThrice()
            .crash(4, 12.seconds, "b" to setOf(common, digest("b")))
            .crash(5, 13.seconds, "c" to setOf(common, digest("c")))
        assertTrue(ledger.blocks(16.seconds, common, digest("new")))
    }

    @Test
    fun `a request that ends all engines of a small service twice is blocked although other ends are near`() {
        val ledger = CrashLedger()
            .crash(1, 10.seconds, "a1" to setOf(repeated))
            .crash(2, 10.1.seconds, "a2" to setOf(repeated))
            .crash(9, 13.seconds, "b" to setOf(digest("other")))
            .crash(4, 14.seconds, "a3" to setOf(repeated))
            .crash(5, 14.1.seconds, "a4" to setOf(repeated))
        assertTrue(ledger.blocks(16.seconds, repeated))
    }

    @Test
    fun `a part is blocked too once one request with it has ended as many engines as the users allow`() {
        val four = repeatedThrice().crash(4, 12.seconds, "a3" to setOf(common, repeated))
        assertFalse(four.blocks(20.seconds, common, digest("other")))
        val five = four.crash(5, 13.seconds, "a4" to setOf(common, repeated))
        assertTrue(five.blocks(15.seconds, common, digest("other")))
    }

    @Test
    fun `an answer to a repeat clears the request`() {
        val ledger = CrashAttribution.answerBegan(repeatedThrice(), listOf(common, repeated), 11.2.seconds)
        assertFalse(ledger.blocks(20.seconds, common, repeated))
    }

    @Test
    fun `a popular request is not blocked by the loss of all engines because it was answered before`() {
        val answered = AnsweredTraits().apply { record(setOf(repeated), 9.seconds) }
        val ledger = repeatedThrice()
        assertEquals(null, CrashAttribution.blocking(ledger, setOf(repeated), 20.seconds, answered))
        val cleared = CrashAttribution.clearedBefore(ledger, answered)
        assertFalse(cleared.blocks(20.seconds, repeated), "another process learns of the answer")
    }

    @Test
    fun `two requests that were at the same three engines are both blocked until one is answered`() {
        val other = digest("other")
        val ledger = CrashLedger()
            .crash(1, 10.seconds, "a1" to setOf(repeated), "b1" to setOf(other))
            .crash(2, 10.5.seconds, "a2" to setOf(repeated), "b2" to setOf(other))
            .crash(3, 11.seconds, "a3" to setOf(repeated), "b3" to setOf(other))
        assertTrue(ledger.blocks(14.seconds, repeated) && ledger.blocks(14.seconds, other))
        val cleared = CrashAttribution.answerBegan(ledger, listOf(other), 11.5.seconds)
        assertTrue(cleared.blocks(14.seconds, repeated))
        assertFalse(cleared.blocks(14.seconds, other))
    }

    @Test
    fun `a process that starts learns of many blocked requests from one message`() {
        val blocked = (0 until BLOCKED_REQUESTS).map { digest("blocked-$it") }
        val ledger = blocked.foldIndexed(CrashLedger()) { index, known, trait ->
            (0 until 3).fold(known) { ledger, crash ->
                val number = index * 3 + crash
                val neighbors = List(NEIGHBORS) { "n$number-$it" to setOf<RequestTrait>(digest("n$number-$it")) }
                val at = 10.seconds + 10.seconds * index + 500.milliseconds * crash
                ledger.crash(number, at, "a$number" to setOf(trait), *neighbors.toTypedArray())
            }
        }
        val now = 10.seconds * BLOCKED_REQUESTS + 20.seconds
        blocked.forEach { assertTrue(ledger.blocks(now, it), "$it at the sender") }
        val started = CrashAttribution.merged(CrashLedger(), CrashAttribution.evidence(ledger, now), now)
        blocked.forEach { assertTrue(started.blocks(now, it), "$it at the process that started") }
    }

    @Test
    fun `a request beside a blocked one is still suspected by a process that learns of the crash later`() {
        val other = digest("other")
        val ledger = repeatedThrice()
            .crash(4, 12.seconds, "a3" to setOf(common, repeated), "b" to setOf(other))
        val started = CrashAttribution.merged(CrashLedger(), CrashAttribution.evidence(ledger, 20.seconds), 20.seconds)
        assertTrue(started.blocks(20.seconds, common, repeated))
        assertTrue(CrashAttribution.isSuspect(started, listOf(other), 20.seconds))
    }

    private companion object {
        const val BLOCKED_REQUESTS = 5
        const val NEIGHBORS = 12
    }
}
