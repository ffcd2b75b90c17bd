package redwingcross.version.lease

import redwingcross.request.Transition
import redwingcross.version.fleet.StoreEra
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/**
 * Number of lease epochs that belong to one era of the store. The history that a restore loses may have used epochs
 * that a process that starts later can't know, so each era acquires from a range of its own: era `n` from
 * `n * EPOCHS_PER_ERA + 1`. An era reaches the range of the next one after 10,000 acquisitions; without a pause and at
 * one for each lease duration of 1.2 s, that takes 3.3 hours.
 *
 * The ranges don't make an epoch unique. The write of a process that doesn't know of the restore can take effect on a
 * lease of the new era that has the same revision. A process that has neither read nor heard of that lease then finds
 * an epoch of an earlier era and acquires the replaced epoch again, after the time of its first holder has ended. Group
 * epochs and the names of groups, which derive from the epoch, can repeat with it. KNOWN-RED.txt lists the test.
 *
 * Epochs stay below 9.1e10 with eras up to 9,000,000, and the group epochs, which are 100,000 times as high, below 2^53
 * (9.007e15), so JSON parsers that read numbers as floating point keep every digit.
 */
internal const val EPOCHS_PER_ERA = 10_000L

/** Whether the lease epoch [epoch] was acquired before the store came to its current era. */
internal fun LeaseState.isOfEarlierEra(epoch: LeaseEpoch): Boolean = (epoch.value - 1) / EPOCHS_PER_ERA < era.value

/** Epoch of the next acquisition: above every epoch that this process knows, and in the range of the current era. */
internal fun LeaseState.nextEpoch(): LeaseEpoch = LeaseEpoch(maxOf(highestEpoch.value, era.value * EPOCHS_PER_ERA) + 1)

/** Records that [epoch] was acquired. */
internal fun LeaseState.withEpochSeen(epoch: LeaseEpoch): LeaseState = copy(highestEpoch = maxOf(highestEpoch, epoch))

/**
 * Ends what this process knows and holds of the lease, because the store is now in [newEra]. A write that is still on
 * its way may take effect on another record of the same revision, so neither its answer nor a record with its nonce
 * counts.
 */
internal fun LeaseState.restored(
    newEra: StoreEra,
    isActing: Boolean,
    now: Duration,
): Transition<LeaseState, LeaseEffect> {
    val continues = isActing && held != null && !releasing
    val next = copy(
        era = newEra,
        eraObservedAt = now,
        // Standbys wait for the whole duration, so they can't have acquired the lease by then.
        continuesUntil = if (continues) now + settings.duration - settings.margin else null,
        seen = null,
        unchangedAt = null,
        held = null,
        pending = null,
        call = null,
        nextCallAt = now,
    )
    return Transition(next, listOfNotNull(held?.let { LeaseEffect.Lost(it.seen.record.epoch) }))
}

/** Whether this process acted when the store came back, and still takes a lease of an earlier era over at once. */
internal fun LeaseState.continuesAsHolder(now: Duration): Boolean =
    !releasing && continuesUntil != null && now < continuesUntil

/**
 * Time at which a process that didn't act when the store came back may take over a lease of an earlier era, whatever
 * the restored record says: a holder of the lost history may act until then.
 */
internal fun LeaseState.earlierHolderEndsAt(): Duration = (eraObservedAt ?: -Duration.INFINITE) + settings.duration
