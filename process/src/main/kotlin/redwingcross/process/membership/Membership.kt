package redwingcross.process.membership

import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/**
 * SWIM membership protocol with random probes, indirect probes, suspicion and refutation, as a pure state machine.
 *
 * A process declares a member dead only after its own suspicion timeout. A DEAD entry that it receives from a peer only
 * makes it suspect the member, so an update from a process that was cut off causes at most a suspicion, which the
 * member refutes.
 */
class Membership(private val settings: MembershipSettings) {
    /** Returns the initial state with an empty member table; [seeds] are contacted until members are found. */
    fun start(self: Member, seeds: List<Endpoint>, randomSeed: RandomSeed, now: Duration): MembershipState =
        MembershipState(
            self = self,
            entries = emptyMap(),
            hasLeft = false,
            seeds = seeds,
            sendCounts = mapOf(self.name to 0),
            probeOrder = emptyList(),
            probe = null,
            nextProbe = now,
            nextSync = now + settings.syncPeriod,
            nextRejoin = now,
            lastTick = now,
            lastContact = now,
            randomSeed = randomSeed,
        )

    /** Processes [message] at time [now]. [MembershipMessage.Tick] is expected about every 100 ms. */
    fun step(
        state: MembershipState,
        message: MembershipMessage,
        now: Duration,
    ): Transition<MembershipState, MembershipEffect> {
        val table = MemberTable(settings, state, now)
        MembershipStep(settings, table, now).handle(message)
        return Transition(table.state, table.effects)
    }

    /**
     * Selects changes of at most [bytes] encoded bytes for a message to [recipient] and counts them as sent. The
     * effects of the transition are these changes.
     */
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

    /** Selects a random member that is alive or suspected; the effects are empty if there is none. */
    fun pickPeer(state: MembershipState): Transition<MembershipState, Member> {
        val candidates = state.entries.values.filter { it.isPresent }
        if (candidates.isEmpty()) return Transition(state)
        val chosen = candidates[state.randomSeed.index(candidates.size)].member
        return Transition(state.copy(randomSeed = state.randomSeed.next()), listOf(chosen))
    }
}
