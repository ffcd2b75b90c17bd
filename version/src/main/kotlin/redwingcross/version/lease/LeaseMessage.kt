package redwingcross.version.lease

import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** Input of [LeaseDecision]. */
sealed interface LeaseMessage {
    /** Time passed; sent at least every half second. */
    data object Tick : LeaseMessage

    /** The end of the read or write [call]. */
    sealed interface CallEnded : LeaseMessage {
        val call: Long
    }

    /** The read answered in [era]; [lease] is null if the object is absent. */
    data class ReadAnswered(override val call: Long, val lease: StoredLease?, val era: StoreEra = StoreEra.FIRST) :
        CallEnded

    data class ReadFailed(override val call: Long) : CallEnded

    /** The write took effect and made [version]. */
    data class Written(override val call: Long, val version: StorePosition) : CallEnded

    /** The object was not at the expected version. */
    data class Conflict(override val call: Long) : CallEnded

    /** The write failed and had no effect. */
    data class WriteFailed(override val call: Long) : CallEnded

    /** The write may have taken effect, or may still do so. */
    data class OutcomeUnknown(override val call: Long) : CallEnded

    /** Gossip announced that the zone has a holder with [epoch]. */
    data class HolderAnnounced(val epoch: LeaseEpoch) : LeaseMessage

    /**
     * The holder announced that it holds [lease] and sent its last renewal [age] ago. An era that is newer than the
     * known one only causes a read, because a damaged message may name any era.
     */
    data class HolderRenewed(val lease: StoredLease, val age: Duration = Duration.ZERO) : LeaseMessage

    /** The store has come back from an older copy; [isActing] if this process acted when it learned so. */
    data class StoreRestored(val era: StoreEra, val isActing: Boolean) : LeaseMessage

    /** A process announced that it acts or acted under [epoch], so no later acquisition may use it. */
    data class EpochSeen(val epoch: LeaseEpoch) : LeaseMessage

    /** Position of this process in the rendezvous order of the zone, from 0. */
    data class RankChanged(val rank: Int) : LeaseMessage

    /** An engine has accepted a fencing token above the held epoch, so the lease must be read again. */
    data object Superseded : LeaseMessage

    /** The process is shutting down: releases the lease and never acquires it again. */
    data object Release : LeaseMessage
}

/** Era that the store stated in this answer; null if this is no answer that states one. */
val LeaseMessage.answeredEra: StoreEra?
    get() = when (this) {
        is LeaseMessage.ReadAnswered -> maxOf(era, lease?.version?.era ?: StoreEra.FIRST)
        is LeaseMessage.Written -> version.era
        else -> null
    }

/** An action that the owning task carries out for the lease decision. */
sealed interface LeaseEffect {
    data class Read(val call: Long) : LeaseEffect

    /** Writes the lease if the object is at version [expected]; null means that the object must be absent. */
    data class Write(val call: Long, val expected: StorePosition?, val record: LeaseRecord) : LeaseEffect

    /** This process acquired the lease; [former] is true if the zone had a holder before. */
    data class Acquired(val epoch: LeaseEpoch, val former: Boolean) : LeaseEffect

    /** This process no longer holds the lease that it acquired with [epoch]. */
    data class Lost(val epoch: LeaseEpoch) : LeaseEffect

    /** After a [LeaseMessage.Release]: the lease is released, or was not held. */
    data object Released : LeaseEffect
}
