package redwingcross.process.edge

import redwingcross.process.crash.CrashEvidence
import redwingcross.request.AttemptId
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.PromptPart
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.EngineTable
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against sound requests that are given up because a crash accuses them, and against processes that differ in
 * what they block. The time is virtual.
 */
class CrashAttributionTaskTest {
    private var now = Duration.ZERO
    private val logged = mutableListOf<String>()
    private var newEvidence = 0
    private var blocksBegun = 0
    private var crashes = 0
    private val refused = mutableListOf<RequestTrait>()
    private var table = EngineTable()
    private val task = process()
    private val other = process()

    private fun process() = CrashAttributionTask(
        CrashAttributionDependencies(
            table = { table },
            onNewEvidence = { newEvidence++ },
            onBlocked = { blocksBegun++ },
            countCrash = { crashes++ },
            countBlocked = { refused += it },
            log = { event, _ -> logged += event },
        ),
    ) { now }

    private fun list(backend: ChosenBackend, start: EngineStart? = backend.start) {
        val status = EngineStatus(
            id = backend.server,
            service = ServiceName("m"),
            address = backend.address,
            zone = AvailabilityZone("z"),
            slots = 12,
            draining = false,
            coldRemaining = Duration.ZERO,
            start = start,
            domain = null,
            staged = emptyList(),
            membership = null,
        )
        table = table.withListed(status, now)
    }

    private fun CrashAttributionTask(dependencies: CrashAttributionDependencies, now: () -> Duration) =
        CrashAttributionTask(dependencies, MonotonicClock { now() })

    private fun engine(index: Int) = ChosenBackend(
        BackendServer("e$index"),
        Endpoint("10.0.0.1:80"),
        GroupId("m.1-$index"),
        "m",
        EngineStart(1),
    )

    private fun request(vararg parts: String) =
        RequestIdentity(AttemptId(parts.joinToString("-")), parts.map(::PromptPart).toSet())

    private fun endEngine(index: Int, vararg parts: String) {
        task.connectionLost(engine(index), request(*parts), hasAnswered = false)
        task.groupsLost(setOf(GroupId("m.1-$index")))
    }

    private fun blockPart() {
        repeat(3) { index ->
            endEngine(index, "bad", "own$index")
            now += 3.seconds
        }
        task.check()
    }

    @Test
    fun `a lost connection that is not confirmed as the end of an engine blocks nothing`() {
        repeat(9) { list(engine(it)) }
        repeat(9) { index ->
            task.connectionLost(engine(index), request("bad", "own$index"), hasAnswered = false)
            repeat(6) {
                task.check()
                now += 1.seconds
            }
        }
        assertNull(task.blockReason(request("bad")))
        assertEquals(CrashEvidence(), task.evidence())
        assertEquals(0, newEvidence)
        assertEquals(0, crashes)
        assertEquals(0, blocksBegun)
    }

    @Test
    fun `engines that are missing from the list or listed with another start have ended`() {
        repeat(3) { list(engine(it)) }
        repeat(3) { index ->
            task.connectionLost(engine(index), request("bad", "own$index"), hasAnswered = false)
            task.check()
            assertEquals(index, crashes, "the engine is listed with the same start")
            now += 1.seconds
            if (index == 0) table = table.without(engine(0).server) else list(engine(index), EngineStart(2))
            task.check()
            assertEquals(index + 1, crashes)
        }
        assertEquals(3, newEvidence)
        assertEquals(0, blocksBegun)
        now += 1.seconds
        task.check()
        assertEquals(1, blocksBegun, "the block begins without a new crash")
        task.check()
        assertEquals(1, blocksBegun, "a block is reported once")
        assertEquals(listOf("prompt_part_blocked"), logged.takeLast(1))
        assertEquals(CrashSignals.BLOCKED_PART, task.blockReason(request("bad", "p")))
        assertNull(task.blockReason(request("own1")))
        assertEquals(listOf<RequestTrait>(PromptPart("bad")), refused)
    }

    @Test
    fun `the end of its own engine does not make a request suspect, the end of another engine does`() {
        endEngine(1, "p1")
        assertFalse(task.isSuspect(request("p1"), engine(1)))
        assertTrue(task.isSuspect(request("p1"), engine(2)))
        task.answerBegan(request("p1"))
        assertFalse(task.isSuspect(request("p1"), engine(2)), "an answer proved the part to be sound")
    }

    @Test
    fun `a block and its lift reach another process by the evidence`() {
        blockPart()
        assertEquals(CrashSignals.BLOCKED_PART, task.blockReason(request("p1", "bad")))
        assertTrue(other.received(task.evidence()))
        now += 1.seconds
        other.check()
        assertEquals(CrashSignals.BLOCKED_PART, other.blockReason(request("bad")), "the other process blocks the part")
        assertFalse(other.received(task.evidence()), "known evidence changes nothing")
        now += 1.seconds
        assertTrue(other.lift(PromptPart("bad")))
        assertTrue(task.received(other.evidence()))
        assertNull(task.blockReason(request("bad")), "the block is lifted")
        assertEquals(listOf("prompt_part_unblocked"), logged.takeLast(1))
    }

    @Test
    fun `a part that is not blocked can't be lifted`() {
        blockPart()
        assertFalse(task.lift(PromptPart("own1")))
        assertEquals(CrashSignals.BLOCKED_PART, task.blockReason(request("bad")))
    }
}
