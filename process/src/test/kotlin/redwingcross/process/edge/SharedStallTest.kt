package redwingcross.process.edge

import redwingcross.request.GroupId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against groups that lost an engine and get requests until the loss is confirmed, against healthy groups that
 * are kept out of use, and against marks of a controller that is paused or misled.
 */
class SharedStallTest {
    private val lossAt = 3.seconds
    private val lost = GroupId("small.1-0")

    private class Loss(
        /** Time from the loss of the group to the last request that was sent there. */
        val sentFor: Duration,
        val sentAfter: Int,
        /** Requests that were at the lost group without an event, and those among them answered in time. */
        val stranded: Int,
        val inTime: Int,
    )

    private fun loss(fleet: ReplayedFleet, seed: Int, prepare: StallReplay.() -> Unit = {}): Loss {
        val replay = StallReplay(fleet, seed)
        replay.runUntil(lossAt)
        replay.lose(0)
        val before = replay.requests.filter { it.group == lost && !it.hasProgressed }
        replay.prepare()
        replay.runUntil(lossAt + 1.5.seconds)
        val after = replay.sends.filter { it.first == lost && it.second > lossAt }
        val sentThere = after.map { it.second }.toSet()
        val stranded = before + replay.requests.filter { it.arrivedAt in sentThere }
        return Loss(
            after.maxOfOrNull { it.second - lossAt } ?: Duration.ZERO,
            after.size,
            stranded.size,
            stranded.count { request -> request.firstEventAt?.let { it - request.arrivedAt < OBJECTIVE } == true },
        )
    }

    private fun losses(fleet: ReplayedFleet, prepare: StallReplay.() -> Unit = {}) =
        (1..SEEDS).map { loss(fleet, it, prepare) }

    private fun List<Loss>.inTime() = sumOf { it.inTime }.toDouble() / sumOf { it.stranded }

    @Test
    fun `a lost group gets no requests once its streams have been silent, and its requests are answered in time`() {
        for (gateways in listOf(8, 75, 109)) {
            val shared = losses(ReplayedFleet(gateways))
            val alone = losses(ReplayedFleet(gateways, isShared = false))
            assertTrue(shared.all { it.sentFor < STOPPED_WITHIN }, "$gateways gateways")
            assertTrue(shared.inTime() > SHARE_IN_TIME, "$gateways gateways: ${shared.inTime()}")
            assertFalse(alone.all { it.sentFor < STOPPED_WITHIN }, "the present decision passes: $gateways gateways")
            assertFalse(alone.inTime() > SHARE_IN_TIME, "the present decision passes: ${alone.inTime()}")
        }
    }

    /** A replay of ten seconds in which one of [oneOf] steps is a pause of the given time. */
    private fun promptPauses(oneOf: Int, from: Duration, to: Duration): StallReplay {
        val stepTime = { random: Random ->
            if (random.nextInt(oneOf) == 0) from + (to - from) * random.nextDouble() else 40.milliseconds
        }
        return StallReplay(ReplayedFleet(109, stepTime = stepTime), seed = 1).also { it.runUntil(10.seconds) }
    }

    @Test
    fun `a group that reads long prompts is marked for no longer than its silence lasts, and not below the limit`() {
        val usual = promptPauses(oneOf = 5, 100.milliseconds, 150.milliseconds)
        assertEquals(emptyList(), usual.logged.filter { it.second == "group_stalled" })
        val times = promptPauses(oneOf = 20, 200.milliseconds, 300.milliseconds).markTimes()
        assertTrue(times.isNotEmpty() && times.max() < 300.milliseconds - SilenceDecision.SILENCE_LIMIT + SLACK)
    }

    @Test
    fun `a slow group is marked about once a second at most, and its members are asked hardly more often`() {
        fun replays(isShared: Boolean, factor: Int) = (1..SEEDS).map { seed ->
            StallReplay(ReplayedFleet(75, isShared), seed).also {
                it.slow(0, factor)
                it.runUntil(8.seconds)
            }
        }
        for (factor in listOf(5, 8, 12)) {
            val shared = replays(isShared = true, factor)
            val marks = shared.map { replay -> replay.logged.count { it.second == "group_stalled" } }
            val asked = listOf(shared, replays(isShared = false, factor)).map { all -> all.map { it.asked.size } }
            assertTrue(marks.max() <= MARKS_OF_SLOW_GROUP, "$marks marks")
            assertTrue(asked[0].sum() <= asked[1].sum() + 2 * SEEDS, "$asked")
        }
    }

    @Test
    fun `a tenth of the datagrams lost delays the end of the requests by few repetitions`() {
        val losses = losses(ReplayedFleet(109, datagramLoss = 0.1))
        assertTrue(losses.all { it.sentFor < STOPPED_WITHIN + StallMarks.LIFETIME })
    }

    @Test
    fun `while the controller is paused gateways decide as they do alone`() {
        val alone = losses(ReplayedFleet(75, isShared = false)) { pauseController(CONTROLLER_PAUSE) }
        val paused = losses(ReplayedFleet(75)) { pauseController(CONTROLLER_PAUSE) }
        assertTrue(paused.maxOf { it.sentFor } <= alone.maxOf { it.sentFor } + SLACK)
    }

    @Test
    fun `marks of a controller that is paused, and those that it makes from late evidence, end by themselves`() {
        val replay = StallReplay(
            ReplayedFleet(75, stepTime = { if (it.nextInt(40) == 0) 250.milliseconds else 40.milliseconds }),
            seed = 3,
        )
        var longest = 0.seconds
        repeat(6) {
            replay.runUntil(replay.now + 200.milliseconds)
            replay.pauseController(CONTROLLER_PAUSE)
            longest = maxOf(longest, replay.longestMarkUntil(replay.now + 1.seconds))
        }
        assertTrue(longest <= StallMarks.LIFETIME + SLACK, "$longest")
    }

    @Test
    fun `implausible evidence marks no group and is counted`() {
        val replay = StallReplay(ReplayedFleet(75), seed = 4)
        replay.runUntil(2.seconds)
        val running = replay.requests.count { it.group == lost }
        replay.sendEvidence(SilenceReport(GroupId("other.1-1"), 2, 200.milliseconds), "x1")
        replay.sendEvidence(SilenceReport(lost, running + 20, 200.milliseconds), "x2")
        replay.sendEvidence(SilenceReport(lost, 3, (-1).seconds), "x3")
        replay.sendEvidence(SilenceReport(lost, 3, 200.milliseconds), "x4")
        replay.runUntil(2.1.seconds)
        assertEquals(3L, replay.ignoredReports)
        assertEquals(1, replay.logged.count { it.second == "stall_evidence_ignored" })
        assertEquals(0, replay.logged.count { it.second == "group_stalled" })
    }

    @Test
    fun `a group that is marked wrongly is in use again as soon as a gateway sees it progress`() {
        val replay = StallReplay(ReplayedFleet(75), seed = 5)
        replay.runUntil(2.seconds)
        repeat(4) { replay.sendEvidence(SilenceReport(lost, 6, 200.milliseconds), "x$it") }
        replay.runUntil(2.3.seconds)
        assertEquals(1, replay.logged.count { it.second == "group_stalled" })
        assertTrue(replay.markTimes().single() < 100.milliseconds)
        assertTrue((0 until 75).all { replay.marked(it).isEmpty() })
    }

    private companion object {
        const val SEEDS = 8
        const val MARKS_OF_SLOW_GROUP = 10

        /** The objective of the small model's requests for their first event. */
        val OBJECTIVE = 302.milliseconds

        /** The silence that is reported, the time of the messages and one event of the group. */
        val STOPPED_WITHIN = 230.milliseconds
        const val SHARE_IN_TIME = 0.6
        val SLACK = 20.milliseconds
        val CONTROLLER_PAUSE = 800.milliseconds
    }
}
