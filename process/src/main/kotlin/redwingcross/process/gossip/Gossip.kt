package redwingcross.process.gossip

import redwingcross.process.membership.RandomSeed
import redwingcross.process.membership.MemberChange
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import kotlin.time.Duration

/**
 * Decides what is spread and adopted by push-pull gossip.
 *
 * Ages are adopted only from answers, with the time since the request was sent added. A message that nobody asked for
 * may have waited in a socket for any time, for example while this process was stopped, so its age proves nothing.
 */
class Gossip(private val settings: GossipSettings) {
    /** The state of a process that has heard nothing. */
    fun start(self: ProcessName, now: Duration): GossipState =
        GossipState(self = self, startedAt = now, nextRound = now)

    /** One step; ticks are expected about every 100 ms. */
    fun step(state: GossipState, message: GossipMessage, now: Duration): Transition<GossipState, GossipEffect> {
        val table = GossipTable(settings, state, now)
        GossipStep(settings, table, now).take(message)
        return Transition(table.state, table.effects)
    }

    /** The digest of one round, with [changes] of members; [members] bounds how often cold reports are sent. */
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
