package redwingcross.process.membership

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against single decisions that the stateful properties hide, because a later step repairs them. */
class MembershipTest {
    private val membership = Membership(MembershipSettings(sizeOf = { 80 }))
    private val self = member("controller-0", startedAt = Duration.ZERO)
    private val other = member("controller-1", startedAt = Duration.ZERO)
    private var now = 1.seconds
    private var state = membership.start(self, emptyList(), RandomSeed(1), now)

    private fun member(name: String, startedAt: Duration, start: Long = 1, incarnation: Long = 0) = Member(
        ProcessName(name),
        ProcessRole.CONTROLLER,
        AvailabilityZone("ub-a"),
        Endpoint("$name:1"),
        null,
        StartId(start),
        startedAt,
        Incarnation(incarnation),
    )

    private fun take(message: MembershipMessage): List<MembershipEffect> {
        val (next, effects) = membership.step(state, message, now)
        state = next
        return effects
    }

    private fun hear(member: Member, condition: MemberCondition) =
        take(MembershipMessage.ChangesReceived(listOf(MemberChange(member, condition))))

    private fun conditionOf(name: String) = state.entries[ProcessName(name)]?.condition

    /** Ticks for [time] without an answer to any request. */
    private fun pass(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 100.milliseconds
            take(MembershipMessage.Tick)
        }
    }

    @Test
    fun `a process that was stopped gives suspects their whole time again`() {
        hear(other, MemberCondition.ALIVE)
        hear(other, MemberCondition.SUSPECT)
        take(MembershipMessage.Tick)
        now += 20.seconds
        take(MembershipMessage.Tick)
        assertEquals(MemberCondition.SUSPECT, conditionOf("controller-1"))
        pass(4.seconds)
        assertEquals(MemberCondition.DEAD, conditionOf("controller-1"))
    }

    @Test
    fun `the death that another process declared is only a suspicion`() {
        hear(other, MemberCondition.ALIVE)
        hear(other, MemberCondition.DEAD)
        assertEquals(MemberCondition.SUSPECT, conditionOf("controller-1"))
        hear(other.copy(incarnation = Incarnation(1)), MemberCondition.ALIVE)
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
    }

    @Test
    fun `an isolated process passes on no suspicion and drops its verdicts at the first contact`() {
        val third = member("controller-2", startedAt = Duration.ZERO)
        hear(other, MemberCondition.ALIVE)
        hear(third, MemberCondition.ALIVE)
        state = state.copy(unsent = emptyMap())
        now += 3.seconds
        pass(8.seconds)
        assertEquals(MemberCondition.DEAD, conditionOf("controller-1"))
        assertEquals(
            emptyList(),
            membership.takeChanges(state, ProcessName("controller-2"), 1_000, now).effects.drop(1),
        )
        take(MembershipMessage.Contacted(ProcessName("controller-2")))
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-2"))
    }

    @Test
    fun `a replacement takes over a name at once and the process before it must stop`() {
        hear(other.copy(incarnation = Incarnation(9)), MemberCondition.DEAD)
        val replacement = member("controller-1", startedAt = now, start = 2)
        hear(replacement, MemberCondition.ALIVE)
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
        hear(other.copy(incarnation = Incarnation(10)), MemberCondition.ALIVE)
        assertEquals(StartId(2), state.entries.getValue(ProcessName("controller-1")).member.start)

        val successor = member("controller-0", startedAt = now, start = 2)
        assertTrue(MembershipEffect.Replaced(successor) in hear(successor, MemberCondition.ALIVE))
        val predecessor = member("controller-0", startedAt = (-5).seconds, start = 3, incarnation = 50)
        assertFalse(hear(predecessor, MemberCondition.ALIVE).any { it is MembershipEffect.Replaced })
    }

    @Test
    fun `a suspected controller observes no zone and a leaving one neither`() {
        val zone = AvailabilityZone("ub-b")
        val names = listOf("controller-1", "controller-2", "controller-3")
        names.forEach { hear(member(it, Duration.ZERO), MemberCondition.ALIVE) }
        val order = state.observerOrder(zone)
        val first = order.first { it != self.name }
        hear(member(first.value, Duration.ZERO), MemberCondition.SUSPECT)
        assertEquals(order - first, state.observerOrder(zone))
        val second = order.first { it != self.name && it != first }
        val leaving = member(second.value, Duration.ZERO, incarnation = 1).copy(availability = Availability.LEAVING)
        hear(leaving, MemberCondition.ALIVE)
        assertEquals(order - first - second, state.observerOrder(zone))
    }
}
