package redwingcross.version.lease

import kotlin.time.Duration

/** Time of the next read: when the lease can be taken over, or after the retry interval if that is earlier. */
internal fun LeaseState.nextReadAt(now: Duration, unchanged: Boolean): Duration = when {
    canTakeOver(now) -> now
    unchanged && isHolderHeard(now) -> takeoverAt(now)
    unchanged -> minOf(now + settings.retryInterval, seenAt + settings.duration)
    else -> now + settings.retryInterval
}

internal fun LeaseState.canTakeOver(now: Duration): Boolean {
    val current = seen ?: return false
    return when {
        now >= takeoverAt(now) -> true
        isOfEarlierEra(current.record.epoch) -> continuesAsHolder(now)
        else -> current.record.holder == null || isOfEarlierStart(current.record)
    }
}

/**
 * Whether an earlier start of this process acquired the lease. Answers the loss of power of all processes, after which
 * the lease would otherwise have to expire before any process forms and announces groups. Only a later start takes over
 * from an earlier one, so that two processes of the same name don't take the lease from each other in turns.
 */
private fun LeaseState.isOfEarlierStart(record: LeaseRecord): Boolean {
    if (!settings.reclaimsAfterRestart || record.holder != self) return false
    val holderStart = record.nonce.removePrefix("${self.value}-").substringBefore('-').toLongOrNull()
    val ownStart = incarnation.toLongOrNull()
    return holderStart != null && ownStart != null && holderStart < ownStart
}

/**
 * Time at which this process may take the lease over if its version doesn't change before. While the holder is
 * heard, the store must have answered this process: if it is down for all, the holder keeps its role.
 */
internal fun LeaseState.takeoverAt(now: Duration): Duration {
    val unchangedUntil = seenAt + maxOf(settings.duration, seen?.record?.duration ?: Duration.ZERO)
    val expiry = maxOf(unchangedUntil, earlierHolderEndsAt())
    return when {
        holderHeardAt == null -> expiry
        !isHolderHeard(now) -> expiry + settings.rankDelay * rank
        unchangedAt == null -> Duration.INFINITE
        else -> maxOf(expiry + settings.rankDelay * rank, unchangedAt + settings.confirmDelay)
    }
}

internal fun LeaseState.isHolderHeard(now: Duration): Boolean =
    holderHeardAt != null && now - holderHeardAt < settings.duration

internal fun LeaseState.retryAfterFailure(now: Duration): LeaseState {
    val isOutage = held == null && isHolderHeard(now)
    val interval = if (isOutage) settings.outageRetryInterval else settings.retryInterval
    return copy(nextCallAt = now + interval, unchangedAt = null)
}

internal fun LeaseState.retryLater(now: Duration): LeaseState = copy(nextCallAt = now + settings.retryInterval)
