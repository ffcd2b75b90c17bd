package redwingcross.process.gossip

import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.RandomSeed
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import kotlin.time.Duration

/**
 * Push-pull gossip of versions, stamps, zone statuses and cold reports, as a pure state machine.
 *
 * Ages of stamps and zone statuses are adopted only from answers, with the time since the request was sent added. An
 * unrequested message may have waited in a socket for any time, for example while this process was paused, so its age
 * proves nothing.
 */
class Gossip(private val settings: GossipSettings) {
    /** Returns the initial state of a process that has received no update. */
    fun start(self: ProcessName, now: Duration): GossipState =
        GossipState(self = self, startedAt = now, nextRound = now)

    /** Processes [message] at time [now]. [GossipMessage.Tick] is expected about every 100 ms. */
    fun step(state: GossipState, message: GossipMessage, now: Duration): Transition<GossipState, GossipEffect> {
        val table = GossipTable(settings, state, now)
        GossipStep(settings, table, now).handle(message)
        return Transition(table.state, table.effects)
    }

    /**
     * Creates the digest of one round with these member [changes]. The number of [members] limits how often cold
     * reports are sent.
     */
    fun digest(
        state: GossipState,
        changes: List<MemberChange>,
        members: Int,
        randomSeed: RandomSeed,
        now: Duration,
    ): Transition<GossipState, GossipDigest> {
        val table = GossipTable(settings, state, now)
        val digest = GossipStep(settings, table, now).digest(changes, members, randomSeed)
        return Transition(table.state, listOf(digest))
    }
}
