package redwingcross.version.lease

import redwingcross.request.Transition
import redwingcross.request.with
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
 * holder ends. A holder in a newer era has seen the restore, which ends a lease of an earlier era; one in an earlier
 * era has not, and is ignored.
 */
internal fun LeaseState.holderRenewed(
    lease: StoredLease,
    age: Duration,
    now: Duration,
): Transition<LeaseState, LeaseEffect> {
    val announced = lease.version.era
    val ended = if (announced > era) restored(announced, isActing = false, now) else this.with()
    val known = ended.state.withEpochSeen(lease.record.epoch)
    return Transition(if (announced < era) known else known.withRenewal(lease, age, now), ended.effects)
}

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
