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

/**
 * Guards against wrong single steps of the membership protocol. The stateful properties do not detect them, because a
 * later step corrects the table.
 */
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

    private fun step(message: MembershipMessage): List<MembershipEffect> {
        val (next, effects) = membership.step(state, message, now)
        state = next
        return effects
    }

    private fun receive(member: Member, condition: MemberCondition) =
        step(MembershipMessage.ChangesReceived(listOf(MemberChange(member, condition))))

    private fun conditionOf(name: String) = state.entries[ProcessName(name)]?.condition

    /** Ticks for [time] while no request is answered. */
    private fun advance(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 100.milliseconds
            step(MembershipMessage.Tick)
        }
    }

    @Test
    fun `a suspect keeps its time to refute while the observing process is paused`() {
        receive(other, MemberCondition.ALIVE)
        receive(other, MemberCondition.SUSPECT)
        step(MembershipMessage.Tick)
        now += 20.seconds
        step(MembershipMessage.Tick)
        assertEquals(MemberCondition.SUSPECT, conditionOf("controller-1"))
        advance(4.seconds)
        assertEquals(MemberCondition.DEAD, conditionOf("controller-1"))
    }

    @Test
    fun `a member that a peer declared dead is only suspected`() {
        receive(other, MemberCondition.ALIVE)
        receive(other, MemberCondition.DEAD)
        assertEquals(MemberCondition.SUSPECT, conditionOf("controller-1"))
        receive(other.copy(incarnation = Incarnation(1)), MemberCondition.ALIVE)
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
    }

    @Test
    fun `an isolated process does not send suspicions and withdraws them at the first contact`() {
        val third = member("controller-2", startedAt = Duration.ZERO)
        receive(other, MemberCondition.ALIVE)
        receive(third, MemberCondition.ALIVE)
        state = state.copy(sendCounts = emptyMap())
        now += 3.seconds
        advance(8.seconds)
        assertEquals(MemberCondition.DEAD, conditionOf("controller-1"))
        assertEquals(
            emptyList(),
            membership.takeChanges(state, ProcessName("controller-2"), 1_000, now).effects.drop(1),
        )
        step(MembershipMessage.Contacted(ProcessName("controller-2")))
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-2"))
    }

    @Test
    fun `a replacement takes over a name at once and its predecessor must stop`() {
        receive(other.copy(incarnation = Incarnation(9)), MemberCondition.DEAD)
        val replacement = member("controller-1", startedAt = now, start = 2)
        receive(replacement, MemberCondition.ALIVE)
        assertEquals(MemberCondition.ALIVE, conditionOf("controller-1"))
        receive(other.copy(incarnation = Incarnation(10)), MemberCondition.ALIVE)
        assertEquals(StartId(2), state.entries.getValue(ProcessName("controller-1")).member.start)

        val successor = member("controller-0", startedAt = now, start = 2)
        assertTrue(MembershipEffect.Replaced(successor) in receive(successor, MemberCondition.ALIVE))
        val predecessor = member("controller-0", startedAt = (-5).seconds, start = 3, incarnation = 50)
        assertFalse(receive(predecessor, MemberCondition.ALIVE).any { it is MembershipEffect.Replaced })
    }

    @Test
    fun `suspected and leaving controllers do not observe zones`() {
        val zone = AvailabilityZone("ub-b")
        val names = listOf("controller-1", "controller-2", "controller-3")
        names.forEach { receive(member(it, Duration.ZERO), MemberCondition.ALIVE) }
        val order = state.observerOrder(zone)
        val first = order.first { it != self.name }
        receive(member(first.value, Duration.ZERO), MemberCondition.SUSPECT)
        assertEquals(order - first, state.observerOrder(zone))
        val second = order.first { it != self.name && it != first }
        val leaving = member(second.value, Duration.ZERO, incarnation = 1).copy(availability = Availability.LEAVING)
        receive(leaving, MemberCondition.ALIVE)
        assertEquals(order - first - second, state.observerOrder(zone))
    }
}
