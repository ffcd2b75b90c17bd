package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.process.membership.MembershipState
import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import kotlin.time.Duration

/**
 * Immutable snapshot of the membership and gossip state of this process. It stores readings of the process clock
 * instead of ages, so that a snapshot taken before a pause of the process is not considered fresh afterwards.
 */
class PeerView internal constructor(private val membership: MembershipState, private val gossip: GossipState) {
    /** The description of this process that other members receive. */
    val self: Member get() = membership.self

    /** Members that are alive and not suspected, including this process. */
    fun live(): List<Member> = membership.live()

    /** Members that are alive or suspected, including this process. */
    fun present(): List<Member> = membership.present()

    /** Live gateways that accept requests from callers, sorted by name. */
    fun readyGateways(): List<Member> = membership.readyGateways()

    /** Live controllers in order of precedence as observers of [zone]; the first one observes it. */
    fun observerOrder(zone: AvailabilityZone): List<ProcessName> = membership.observerOrder(zone)

    /** Whether more than half of the gateway set was proved to be running within the last 5 s. */
    fun isMajorityReachable(now: Duration): Boolean = gossip.reachability.isMajorityReachable(self.name, now)

    /** Latest time since which a majority of the gateway set was proved to be running; null without such a proof. */
    fun majorityProvedAt(now: Duration): Duration? = gossip.reachability.majorityProvedAt(self.name, now)

    /** Number of gateways of the gateway set that were proved to be running within the last 5 s. */
    fun reachableGateways(now: Duration): Int = gossip.reachability.reachableCount(self.name, now)

    /** The newest confirmation stamp with its age at [now]; null if none was received. */
    fun stamp(now: Duration): ConfirmationStamp? = gossip.stampAt(now)
}
