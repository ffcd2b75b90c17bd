package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.process.membership.MembershipState
import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import kotlin.time.Duration

/**
 * What this process knows of the others, as an immutable snapshot. Times are readings of the process clock, so a
 * snapshot that was taken before a pause doesn't look current after it.
 */
class PeerView internal constructor(private val membership: MembershipState, private val gossip: GossipState) {
    /** This process as others see it. */
    val self: Member get() = membership.self

    /** Members that are not suspected, including this process. */
    fun live(): List<Member> = membership.live()

    /** Members believed to run, including suspected ones and this process. */
    fun present(): List<Member> = membership.present()

    /** Gateways that callers may be told of, in the order of their names. */
    fun readyGateways(): List<Member> = membership.readyGateways()

    /** Controllers in the order in which they observe [zone]; the first one does. */
    fun observerOrder(zone: AvailabilityZone): List<ProcessName> = membership.observerOrder(zone)

    /** Whether more than half of the roster was proved to run within the last 5 s. */
    fun isMajorityReachable(now: Duration): Boolean = gossip.reachability.isMajorityReachable(self.name, now)

    /** The latest time since which a majority of the roster was proved to run; null without such a proof. */
    fun majorityProvedAt(now: Duration): Duration? = gossip.reachability.majorityProvedAt(self.name, now)

    /** Gateways of the roster that were proved to run within the last 5 s. */
    fun reachableGateways(now: Duration): Int = gossip.reachability.reachableCount(self.name, now)

    /** The newest confirmation stamp with its age at [now]. */
    fun stamp(now: Duration): ConfirmationStamp? = gossip.stampAt(now)
}
