package redwingcross.process.membership

import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint

/** Input of the membership decision. */
sealed interface MembershipMessage {
    data object Tick : MembershipMessage

    /** A ping arrived; answered with [MembershipEffect.Acknowledge]. */
    data class PingReceived(val sender: Member, val changes: List<MemberChange>) : MembershipMessage

    /** [sender] answered a request of this process, or a probe made on its behalf. */
    data class AckReceived(val sender: Member, val changes: List<MemberChange>) : MembershipMessage

    /** A process with this name answered a request other than a ping. */
    data class Contacted(val name: ProcessName) : MembershipMessage

    /** A ping to [target] failed before its timeout. */
    data class PingFailed(val target: ProcessName) : MembershipMessage

    data class ChangesReceived(val changes: List<MemberChange>) : MembershipMessage

    /** A peer compares its table with ours; answered with [MembershipEffect.AnswerSync]. */
    data class SyncReceived(val sender: Member, val digest: TableDigest) : MembershipMessage

    /** The peer at [endpoint] answered a [MembershipEffect.Sync] made with [digest]. */
    data class SyncAnswered(
        val endpoint: Endpoint,
        val digest: TableDigest,
        val answerDigest: TableDigest,
        val changes: List<MemberChange>,
    ) : MembershipMessage

    /** The program changes what it announces about itself. */
    data class Announce(val availability: Availability) : MembershipMessage

    /** The process is about to exit. */
    data object Leave : MembershipMessage

    /** Listeners to contact while few members are known, for example those of the roster. */
    data class SeedsChanged(val seeds: List<Endpoint>) : MembershipMessage
}

/** What the membership task has to do, in order. */
sealed interface MembershipEffect {
    data class Ping(val target: Member, val changes: List<MemberChange>) : MembershipEffect

    /** Asks [via] to probe [target]. */
    data class PingIndirectly(val via: Member, val target: Member) : MembershipEffect

    data class Acknowledge(val changes: List<MemberChange>) : MembershipEffect

    data class Sync(val endpoint: Endpoint, val digest: TableDigest) : MembershipEffect

    data class AnswerSync(val digest: TableDigest, val changes: List<MemberChange>) : MembershipEffect

    /** Tells a peer what it lacks after a sync. */
    data class SendChanges(val endpoint: Endpoint, val changes: List<MemberChange>) : MembershipEffect

    /** The table now holds [entry]. */
    data class Changed(val entry: MemberEntry) : MembershipEffect

    /** A later process with the same name is running; this one must stop. */
    data class Replaced(val successor: Member) : MembershipEffect
}
