package redwingcross.version.lease

import redwingcross.version.fleet.StoreEra
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** Postpones the next call by the lease duration and the delay of this process's rank: the holder is alive. */
internal fun LeaseState.holderAnnounced(epoch: LeaseEpoch, now: Duration): LeaseState {
    val newest = seen?.record?.epoch ?: LeaseEpoch(0)
    val isCurrent = epoch >= newest && !isOfEarlierEra(epoch)
    if (held != null || releasing || !isCurrent) return this
    return copy(nextCallAt = maxOf(nextCallAt, now + settings.duration + settings.rankDelay * rank))
}

/**
 * Records the version that the holder announced, so that a standby can take over without reading the lease first if the
 * holder ends. A holder in an earlier era has not seen the restore, and is ignored. One in a newer era is not recorded
 * either, because only the store tells its era.
 */
internal fun LeaseState.holderRenewed(lease: StoredLease, age: Duration, now: Duration): LeaseState {
    val known = withEpochSeen(lease.record.epoch)
    return if (lease.version.era == era) known.withRenewal(lease, age, now) else known
}

/** Whether [claimed], which another process named, is a newer era for which the lease has not been read yet. */
internal fun LeaseState.isEraUnverified(claimed: StoreEra): Boolean = !releasing && claimed > maxOf(era, claimedEra)

/**
 * Prepares the read that shows whether the store is in the era [claimed]. A call in progress may be answered from
 * before the restore, so it no longer counts; a standby doesn't take over before the read is answered.
 */
internal fun LeaseState.eraClaimed(claimed: StoreEra): LeaseState =
    copy(claimedEra = claimed, call = null, seen = seen.takeIf { held != null })

/** A renewal postpones the next call; a holder that is heard but doesn't renew the lease postpones nothing. */
private fun LeaseState.withRenewal(lease: StoredLease, age: Duration, now: Duration): LeaseState {
    val known = seen?.version
    val isStandby = held == null && pending == null && !releasing
    if (!isStandby || known != null && lease.version < known) return this
    val heard = copy(holderHeardAt = now)
    if (lease.version == known) return heard
    val renewedAt = now - age
    val overdueAt = renewedAt + settings.renewalOverdueAfter + settings.rankDelay * rank
    return heard.copy(seen = lease, seenAt = renewedAt, unchangedAt = null, nextCallAt = overdueAt)
}
