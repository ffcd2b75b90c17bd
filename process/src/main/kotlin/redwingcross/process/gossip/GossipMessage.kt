package redwingcross.process.gossip

import redwingcross.process.membership.GatewaySet
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Input of the gossip decision. */
sealed interface GossipMessage {
    data object Tick : GossipMessage

    /** This process heard from the platform, [ConfirmationStamp.age] ago. */
    data class Confirmed(val stamp: ConfirmationStamp) : GossipMessage

    /** This process adopted these versions. */
    data class Adopted(val versions: ControlVersions) : GossipMessage

    /** This process observed a zone. The sequence is assigned by gossip. */
    data class Observed(val status: ZoneStatus) : GossipMessage

    /** This process saw that a server turned cold. */
    data class TurnedCold(val report: ColdReport) : GossipMessage

    data class GatewaySetChanged(val gatewaySet: GatewaySet) : GossipMessage

    /** [from] answered some request sent at [sentAt]. */
    data class Contacted(val from: ProcessName, val sentAt: Duration) : GossipMessage

    /** A digest arrived; answered with [GossipEffect.Answer]. */
    data class DigestReceived(val from: ProcessName, val digest: GossipDigest, val members: Int) : GossipMessage

    data class AnswerReceived(val from: ProcessName, val answer: GossipAnswer, val sentAt: Duration) : GossipMessage

    /** [from] sent the zones that were asked for at [sentAt]. */
    data class ZonesReceived(val zones: List<ZoneUpdate>, val sentAt: Duration) : GossipMessage

    /** A peer asks for zones; answered with [GossipEffect.AnswerZones]. */
    data class ZonesRequested(val keys: List<ZoneKey>) : GossipMessage
}

/** What the gossip task has to do, in order. */
sealed interface GossipEffect {
    /** A round is due: send a digest to a random member. */
    data object StartRound : GossipEffect

    data class Answer(val answer: GossipAnswer) : GossipEffect

    data class AnswerZones(val zones: List<ZoneUpdate>) : GossipEffect

    /** Ask [from] for its control state. */
    data class FetchControl(val from: ProcessName) : GossipEffect

    data class FetchZones(val from: ProcessName, val keys: List<ZoneKey>) : GossipEffect

    /** A newer stamp than before, passed on by [from]; its age is valid now. */
    data class StampReceived(val from: ProcessName, val stamp: ConfirmationStamp) : GossipEffect

    /** A newer status than before, with its [age] now. */
    data class ZoneReceived(val status: ZoneStatus, val age: Duration) : GossipEffect

    data class ColdReceived(val report: ColdReport) : GossipEffect
}
