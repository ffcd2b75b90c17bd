package redwingcross.process.membership

import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint

/** Input of [Membership.step]. */
sealed interface MembershipMessage {
    data object Tick : MembershipMessage

    /** A ping was received; the step answers with [MembershipEffect.Acknowledge]. */
    data class PingReceived(val sender: Member, val changes: List<MemberChange>) : MembershipMessage

    /** [sender] acknowledged a ping of this process, directly or through an indirect probe. */
    data class AckReceived(val sender: Member, val changes: List<MemberChange>) : MembershipMessage

    /** The process [name] answered any request of this process. */
    data class Contacted(val name: ProcessName) : MembershipMessage

    /** A ping to [target] was not answered, or its answer was malformed. */
    data class PingFailed(val target: ProcessName) : MembershipMessage

    data class ChangesReceived(val changes: List<MemberChange>) : MembershipMessage

    /** A peer compares its table with the local one; the step answers with [MembershipEffect.AnswerSync]. */
    data class SyncReceived(val sender: Member, val digest: TableDigest) : MembershipMessage

    /** The peer at [endpoint] answered a [MembershipEffect.Sync] that carried [digest]. */
    data class SyncAnswered(
        val endpoint: Endpoint,
        val digest: TableDigest,
        val answerDigest: TableDigest,
        val changes: List<MemberChange>,
    ) : MembershipMessage

    /** The availability of this process changed and is to be announced. */
    data class Announce(val availability: Availability) : MembershipMessage

    /** This process is about to exit. */
    data object Leave : MembershipMessage

    /** New peer endpoints to contact while members are missing, for example those of the gateway set. */
    data class SeedsChanged(val seeds: List<Endpoint>) : MembershipMessage
}

/** Actions that the membership task performs after a step, in order. */
sealed interface MembershipEffect {
    data class Ping(val target: Member, val changes: List<MemberChange>) : MembershipEffect

    /** Requests [via] to probe [target]. */
    data class PingIndirectly(val via: Member, val target: Member) : MembershipEffect

    data class Acknowledge(val changes: List<MemberChange>) : MembershipEffect

    data class Sync(val endpoint: Endpoint, val digest: TableDigest) : MembershipEffect

    data class AnswerSync(val digest: TableDigest, val changes: List<MemberChange>) : MembershipEffect

    /** Sends a peer the changes that its table lacks after a sync. */
    data class SendChanges(val endpoint: Endpoint, val changes: List<MemberChange>) : MembershipEffect

    /** [entry] was added to the table or replaced an entry. */
    data class Changed(val entry: MemberEntry) : MembershipEffect

    /** A process with the same name that started later is running, so this process must stop. */
    data class Replaced(val successor: Member) : MembershipEffect
}
