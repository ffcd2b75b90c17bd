package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against answers that are broken off because the group of an engine that falls silent for a second is given up,
 * and against groups that keep a member that is gone.
 */
class SilentEnginesTest {
    private val simulation = FormationSimulation(seed = 3, controllers = 1, engineCount = 30, lateOrderFraction = 0.0)
    private val group: FormedGroup

    init {
        simulation.run(15.seconds, trafficStarted = false)
        group = simulation.groups.first { it.model == large.name && it.stage == GroupStage.SERVING }
        simulation.ordersToLeave.clear()
    }

    private fun stageOf(id: GroupId): GroupStage? = simulation.groups.firstOrNull { it.id == id }?.stage

    private fun run(duration: Duration) = simulation.run(duration, trafficStarted = true)

    private fun silence(members: List<BackendServer>, duration: Duration) =
        simulation.silence(members.associateWith { duration })

    private fun timeUntil(limit: Duration, condition: () -> Boolean): Duration? {
        val start = simulation.now
        while (simulation.now - start < limit) {
            run(10.milliseconds)
            if (condition()) return simulation.now - start
        }
        return null
    }

    private fun assertServesAsBefore() {
        assertEquals(emptyList(), simulation.ordersToLeave, "ordered to leave")
        assertEquals(GroupStage.SERVING, stageOf(group.id))
        assertEquals(emptyList(), simulation.violations)
    }

    @Test
    fun `a group with a member that is silent for a second serves again and no member has to leave`() {
        silence(listOf(group.members.last()), 1.5.seconds)
        run(1.2.seconds)
        assertTrue(stageOf(group.id) != GroupStage.SERVING, "the group gets new requests while a member is silent")
        assertEquals(emptySet(), groupsAnnouncedLost())
        run(0.8.seconds)
        assertServesAsBefore()
    }

    private fun groupsAnnouncedLost() = simulation.groups.filter {
        it.stage == GroupStage.LOST
    }.mapTo(HashSet()) { it.id }

    @Test
    fun `a group whose members are all silent for a second serves again and no member has to leave`() {
        simulation.silence(
            group.members.withIndex().associate { (rank, id) ->
                id to 1.2.seconds + 0.15.seconds * rank
            },
        )
        run(2.5.seconds)
        assertServesAsBefore()
    }

    @Test
    fun `a group that falls silent again and again is never given up`() {
        repeat(4) {
            silence(group.members, 1.2.seconds)
            run(1.7.seconds)
        }
        assertServesAsBefore()
    }

    @Test
    fun `a group that is closed for a leaving member is not given up while another member is silent`() {
        simulation.drain(group.members.first())
        silence(listOf(group.members.last()), 1.2.seconds)
        run(2.seconds)
        assertEquals(GroupStage.RETIRING, stageOf(group.id))
        assertEquals(emptyList(), simulation.ordersToLeave)
    }

    @Test
    fun `a member that stays silent is replaced after the tolerated silence`() {
        val member = group.members.last()
        simulation.end(member, refuses = false)
        val lost = timeUntil(10.seconds) { stageOf(group.id).let { it == null || it == GroupStage.LOST } }
        assertNotNull(lost)
        assertTrue(lost <= TIME_TO_LOSS_BEFORE + FormationSettings().silenceTolerance, "lost after $lost")
        val replaced = timeUntil(10.seconds) {
            simulation.groups.any { it.stage == GroupStage.SERVING && it.id != group.id && it.sharesMember(group) }
        }
        assertNotNull(replaced)
        assertTrue(replaced <= TIME_TO_REPLACEMENT_BEFORE, "replaced $replaced after the loss")
    }

    private fun FormedGroup.sharesMember(other: FormedGroup) = members.any { it in other.members }

    @Test
    fun `a refused connection to a member leads to the loss of the group at once`() {
        simulation.end(group.members.last(), refuses = true)
        val lost = timeUntil(3.seconds) { stageOf(group.id).let { it == null || it == GroupStage.LOST } }
        assertNotNull(lost)
        assertTrue(lost <= 800.milliseconds, "lost after $lost")
    }

    @Test
    fun `a new controller dissolves no group whose last member responds a second later`() {
        val last = group.members.last()
        simulation.takeOver(unlisted = setOf(last))
        simulation.engine(last).silentUntil = simulation.now + 1.seconds
        run(2.seconds)
        assertServesAsBefore()
    }

    @Test
    fun `a new controller frees the engines of a group whose last member is gone`() {
        val last = group.members.last()
        simulation.takeOver(unlisted = setOf(last))
        simulation.end(last, refuses = true)
        run(1.seconds)
        assertEquals((group.members - last).toSet(), simulation.ordersToLeave.toSet())
    }

    private companion object {
        /** From the end of a member until its group counted as lost, when a single silent request was enough. */
        val TIME_TO_LOSS_BEFORE = 1.seconds

        /** From the loss until a group of spares and remaining members serves. */
        val TIME_TO_REPLACEMENT_BEFORE = 2.6.seconds
    }
}
