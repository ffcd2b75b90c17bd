package redwingcross.process.gossip

import redwingcross.process.membership.GatewaySet
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Input of [Gossip.step]. */
sealed interface GossipMessage {
    data object Tick : GossipMessage

    /** This process confirmed these versions with the platform, [ConfirmationStamp.age] ago. */
    data class Confirmed(val stamp: ConfirmationStamp) : GossipMessage

    /** This process adopted these versions of the control state. */
    data class Adopted(val versions: ControlVersions) : GossipMessage

    /** This process observed a zone. Gossip replaces the sequence of [status]. */
    data class Observed(val status: ZoneStatus) : GossipMessage

    /** This process detected that a server turned cold. */
    data class TurnedCold(val report: ColdReport) : GossipMessage

    data class GatewaySetChanged(val gatewaySet: GatewaySet) : GossipMessage

    /** [from] answered any request sent at [sentAt]. */
    data class Contacted(val from: ProcessName, val sentAt: Duration) : GossipMessage

    /**
     * A digest was received; the step answers with [GossipEffect.Answer]. [members] is the number of present members.
     */
    data class DigestReceived(val from: ProcessName, val digest: GossipDigest, val members: Int) : GossipMessage

    data class AnswerReceived(val from: ProcessName, val answer: GossipAnswer, val sentAt: Duration) : GossipMessage

    /** A peer sent the zones that were requested at [sentAt]. */
    data class ZonesReceived(val zones: List<ZoneUpdate>, val sentAt: Duration) : GossipMessage

    /** A peer requests zones; the step answers with [GossipEffect.AnswerZones]. */
    data class ZonesRequested(val keys: List<ZoneKey>) : GossipMessage
}

/** Actions that the membership task performs after a step, in order. */
sealed interface GossipEffect {
    /** A round is due: a digest is sent to a random member. */
    data object StartRound : GossipEffect

    data class Answer(val answer: GossipAnswer) : GossipEffect

    data class AnswerZones(val zones: List<ZoneUpdate>) : GossipEffect

    /** Requests the control state of [from]. */
    data class FetchControl(val from: ProcessName) : GossipEffect

    /** Requests the zone statuses with these [keys] from [from]. */
    data class FetchZones(val from: ProcessName, val keys: List<ZoneKey>) : GossipEffect

    /** [from] sent a stamp that is newer than the current one; its age is valid at the time of the step. */
    data class StampReceived(val from: ProcessName, val stamp: ConfirmationStamp) : GossipEffect

    /** A zone status that is newer than the current one was stored; [age] is valid at the time of the step. */
    data class ZoneReceived(val status: ZoneStatus, val age: Duration) : GossipEffect

    /** A peer sent a cold report that was not known before. */
    data class ColdReceived(val report: ColdReport) : GossipEffect
}
