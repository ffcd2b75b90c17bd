package redwingcross.version.lease

import redwingcross.version.placement.LeaseEpoch

/** What the lease decision learns. */
sealed interface LeaseMessage {
    /** Time passed; sent at least every half second. */
    data object Tick : LeaseMessage

    /** The read [call] answered; [lease] is null if the object is absent. */
    data class ReadAnswered(val call: Long, val lease: StoredLease?) : LeaseMessage

    data class ReadFailed(val call: Long) : LeaseMessage

    data class Written(val call: Long, val version: LeaseVersion) : LeaseMessage

    /** The object was not at the expected version. */
    data class Conflict(val call: Long) : LeaseMessage

    /** The write certainly had no effect. */
    data class WriteFailed(val call: Long) : LeaseMessage

    /** The write may have taken effect, or may still do so. */
    data class OutcomeUnknown(val call: Long) : LeaseMessage

    /** The holder of the zone was heard by gossip. */
    data class HolderAnnounced(val epoch: LeaseEpoch) : LeaseMessage

    /** The holder told that it renewed the lease, which became [lease]. */
    data class HolderRenewed(val lease: StoredLease) : LeaseMessage

    /** Position of this process in the rendezvous order of the zone, from 0. */
    data class RankChanged(val rank: Int) : LeaseMessage

    /** An engine has accepted a token above the held epoch. */
    data object Superseded : LeaseMessage

    /** The process stops: gives the lease up and never takes it again. */
    data object Release : LeaseMessage
}

/** What the owning task carries out for the lease decision. */
sealed interface LeaseEffect {
    data class Read(val call: Long) : LeaseEffect

    /** Conditional write; [expected] null means that the object is absent. */
    data class Write(val call: Long, val expected: LeaseVersion?, val record: LeaseRecord) : LeaseEffect

    /** The lease was taken; [former] is true if the zone had a holder before. */
    data class Acquired(val epoch: LeaseEpoch, val former: Boolean) : LeaseEffect

    data class Lost(val epoch: LeaseEpoch) : LeaseEffect

    /** The lease is given up, or was not held, after a [LeaseMessage.Release]. */
    data object Released : LeaseEffect
}
