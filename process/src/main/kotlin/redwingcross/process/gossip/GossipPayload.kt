package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.TableDigest

/** The content of a `Gossip`, `Ping` or `Ack` frame. */
sealed interface GossipPayload {
    /** Content of a ping or its acknowledgement; as gossip, it sends the changes that a peer lacks after a sync. */
    data class Introduction(val sender: Member, val changes: List<MemberChange>) : GossipPayload

    data class Digest(val digest: GossipDigest) : GossipPayload

    data class Answer(val answer: GossipAnswer) : GossipPayload

    data class ZonesRequest(val keys: List<ZoneKey>) : GossipPayload

    data class Zones(val zones: List<ZoneUpdate>) : GossipPayload

    /** Request to compare member tables; answered with [Table]. */
    data class Sync(val sender: Member, val digest: TableDigest) : GossipPayload

    /** Digest of the answering peer's table and its entries in the parts that differ. */
    data class Table(val digest: TableDigest, val changes: List<MemberChange>) : GossipPayload
}
