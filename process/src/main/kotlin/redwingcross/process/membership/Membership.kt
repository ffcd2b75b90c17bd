package redwingcross.process.membership

import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/**
 * Decides who is a member, in the manner of SWIM: random probes, indirect probes, suspicion and refutation.
 *
 * Death is never taken over from others. A process declares a member dead only after its own suspicion time has
 * passed, so news from a process that was cut off can at most raise a suspicion, which the member refutes.
 */
class Membership(private val settings: MembershipSettings) {
    /** The state of a process that knows only itself and [seeds]. */
    fun start(self: Member, seeds: List<Endpoint>, choice: RandomSeed, now: Duration): MembershipState =
        MembershipState(
            self = self,
            entries = emptyMap(),
            hasLeft = false,
            seeds = seeds,
            unsent = mapOf(self.name to 0),
            probeOrder = emptyList(),
            probe = null,
            nextProbe = now,
            nextSync = now + settings.syncPeriod,
            nextRejoin = now,
            lastTick = now,
            lastContact = now,
            choice = choice,
        )

    /** One step; ticks are expected about every 100 ms. */
    fun step(
        state: MembershipState,
        message: MembershipMessage,
        now: Duration,
    ): Transition<MembershipState, MembershipEffect> {
        val table = MemberTable(settings, state, now)
        MembershipStep(settings, table, now).take(message)
        return Transition(table.state, table.effects)
    }

    /** Takes changes of at most [bytes] encoded bytes for a message to [recipient]; they are the effects. */
    fun takeChanges(
        state: MembershipState,
        recipient: ProcessName,
        bytes: Int,
        now: Duration,
    ): Transition<MembershipState, MemberChange> {
        val table = MemberTable(settings, state, now)
        val changes = table.takeChanges(recipient, bytes)
        return Transition(table.state, changes)
    }

    /** A random member that is believed to run. */
    fun pickPeer(state: MembershipState): Transition<MembershipState, Member> {
        val candidates = state.entries.values.filter { it.isPresent }
        if (candidates.isEmpty()) return Transition(state)
        val chosen = candidates[state.choice.index(candidates.size)].member
        return Transition(state.copy(choice = state.choice.next()), listOf(chosen))
    }
}
