package redwingcross.process.crash

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.process.crash.EngineEndMessage.ConnectionLost
import redwingcross.process.crash.EngineEndMessage.EnginesListed
import redwingcross.process.crash.EngineEndMessage.GroupsLost
import redwingcross.process.crash.EngineEndMessage.NotConnected
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.version.fleet.EngineStart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that are accused because a single connection was lost, and against ends of engines that go
 * unnoticed. The time is virtual.
 */
class EngineEndDetectorTest {
    private val engine = BackendServer("e1")
    private val run = EngineRun(engine, EngineStart(7))
    private val group = GroupId("m.1-1")
    private var state = EngineEndState()
    private var now = 10.seconds

    private fun send(message: EngineEndMessage): List<CrashObservation> {
        val next = EngineEndDetector.step(state, message, now)
        state = next.state
        return next.effects
    }

    private fun suspect(attempt: String) = RequestIdentity(AttemptId(attempt), setOf(PromptPart("p-$attempt")))

    private fun lost(attempt: String, run: EngineRun = this.run) =
        ConnectionLost(run, group, AttemptId(attempt), suspect(attempt))

    private fun lostWithEvents(attempt: String) = ConnectionLost(run, group, AttemptId(attempt), null)

    private val ended = listOf(CrashObservation(run, listOf(suspect("a"))))

    @Test
    fun `a single lost connection accuses nothing while the engine stays listed`() {
        assertEquals(emptyList(), send(lost("a")))
        assertEquals(emptyList(), send(EnginesListed(mapOf(engine to EngineStart(7)))))
        assertEquals(emptyList(), send(EnginesListed(mapOf(engine to null))), "an entry without a start tells nothing")
        now += EngineEndDetector.confirmationTime
        assertEquals(emptyList(), send(EnginesListed(emptyMap())), "the engine ended much later")
        assertEquals(EngineEndState(), state)
    }

    @Test
    fun `two single connections that are lost one after the other accuse nothing`() {
        send(lost("a"))
        now += EngineEndDetector.simultaneous + 1.milliseconds
        assertEquals(emptyList(), send(lost("b")))
    }

    @Test
    fun `a request that loses two connections to an engine does not confirm its own accusation`() {
        send(lost("a"))
        assertEquals(emptyList(), send(lost("a")))
    }

    @Test
    fun `requests that lose their connections to an engine together are suspects`() {
        send(lost("a"))
        now += 100.milliseconds
        val requests = listOf(suspect("a"), suspect("b"))
        assertEquals(listOf(CrashObservation(run, requests, 100.milliseconds)), send(lost("b")))
    }

    @Test
    fun `a request that had received events confirms the end and is no suspect`() {
        assertEquals(emptyList(), send(lostWithEvents("s")))
        assertEquals(ended, send(lost("a")))
    }

    @Test
    fun `an end is confirmed by a failed connect, the controller, a missing entry or another start`() {
        val confirmations = listOf(
            NotConnected(engine),
            GroupsLost(setOf(group)),
            EnginesListed(emptyMap()),
            EnginesListed(mapOf(engine to EngineStart(8))),
        )
        for (confirmation in confirmations) {
            state = EngineEndState()
            send(lost("a"))
            now += 2.seconds
            val late = ended.map { it.copy(age = 2.seconds) }
            assertEquals(late, send(confirmation), "$confirmation comes 2 s after the connection was lost")
            assertEquals(emptyList(), send(confirmation), "$confirmation is reported once")
        }
    }

    @Test
    fun `signs of the end of another engine or group confirm nothing`() {
        send(lost("a"))
        assertEquals(emptyList(), send(NotConnected(BackendServer("e2"))))
        assertEquals(emptyList(), send(GroupsLost(setOf(GroupId("m.1-2")))))
    }

    @Test
    fun `a request whose loss is noticed after the end was confirmed is a suspect, too`() {
        send(lost("a"))
        send(NotConnected(engine))
        now += 1.seconds
        assertEquals(listOf(CrashObservation(run, listOf(suspect("b")), 1.seconds)), send(lost("b")))
        assertEquals(emptyList(), send(lostWithEvents("s")))
    }

    @Test
    fun `a lost connection to the next run of an engine does not belong to the run that ended`() {
        send(lost("a"))
        send(NotConnected(engine))
        now += 3.seconds
        assertEquals(emptyList(), send(lost("b", EngineRun(engine, EngineStart(8)))))
    }

    /** Each number stands for a lost connection; the engine and the time since the loss before follow from it. */
    @Provide
    fun losses(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 1000).list().ofMaxSize(300)

    @Property(seed = "51")
    fun `each request is accused at most once and the state stays bounded`(@ForAll("losses") losses: List<Int>) {
        state = EngineEndState()
        val accused = mutableListOf<AttemptId>()
        losses.forEachIndexed { index, number ->
            now += (number % 7).milliseconds
            val lostRun = EngineRun(BackendServer("e${number % 200}"), EngineStart(1))
            val effects = send(lost("a$index", lostRun)) + send(NotConnected(BackendServer("e${number / 5}")))
            accused += effects.flatMap { it.requests }.map { it.attempt }
            assertBounded()
        }
        assertEquals(accused.distinct(), accused)
        now += EngineEndDetector.confirmationTime
        send(GroupsLost(emptySet()))
        assertEquals(EngineEndState(), state)
    }

    /** Requests that lose connections to one engine repeatedly don't confirm its end, so that its losses add up. */
    @Property(seed = "52")
    fun `losses of a few requests at a few engines stay bounded`(@ForAll("losses") losses: List<Int>) {
        state = EngineEndState()
        for (number in losses) {
            now += (number % 2).milliseconds
            val lostRun = EngineRun(BackendServer("e${number % 3}"), EngineStart(1L + number % 5))
            send(lost(if (number % 97 == 0) "b" else "a", lostRun))
            assertBounded()
        }
    }

    @Test
    fun `only the last losses of a request that loses its connections to an engine again and again are kept`() {
        repeat(EngineEndDetector.MAXIMUM_CONNECTIONS + 8) {
            now += 1.milliseconds
            assertEquals(emptyList(), send(lost("a")))
        }
        val kept = state.runs.getValue(run).connections
        assertEquals(EngineEndDetector.MAXIMUM_CONNECTIONS, kept.size)
        assertEquals(now, kept.last().at)
    }

    private fun assertBounded() {
        assertTrue(state.runs.size <= EngineEndDetector.MAXIMUM_RUNS)
        assertTrue(state.runs.values.all { it.connections.size <= EngineEndDetector.MAXIMUM_CONNECTIONS })
    }
}
