package redwingcross.version.lease

import redwingcross.request.Transition
import redwingcross.request.with
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

private typealias Step = Transition<LeaseState, LeaseEffect>

/**
 * Decides when to read, acquire, renew and release the lease of a zone.
 *
 * A takeover is safe without comparing the clocks of two processes: the write is conditional on a version that this
 * process has known for the whole lease duration, and the holder sent the renewal that made that version even earlier.
 * Each renewal makes a new version, so the write of a process that has missed renewals has no effect.
 *
 * When the store comes back from an older copy of its data, the leases of the earlier eras end. The process that acted
 * as the holder takes the lease over at once, any other after the lease duration: a holder whose acquisition the store
 * has lost may act for that long.
 */
object LeaseDecision {
    /**
     * Computes the next state and effects of [message] at [now]. The owning task passes a [LeaseMessage.StoreRestored]
     * before the first answer of a newer era, because only the task knows whether the process acts. Without it, the
     * answer counts as one that was lost.
     */
    fun step(state: LeaseState, message: LeaseMessage, now: Duration): Step {
        val era = message.answeredEra
        val isUnannounced = era != null && era > state.era
        return if (isUnannounced && message is LeaseMessage.CallEnded) {
            stepInEra(state, LeaseMessage.OutcomeUnknown(message.call), now)
        } else {
            stepInEra(state, message, now)
        }
    }

    private fun restored(state: LeaseState, era: StoreEra, isActing: Boolean, now: Duration): Step {
        val ended = state.restored(era, isActing, now)
        val next = tick(ended.state, now)
        return Transition(next.state, ended.effects + next.effects)
    }

    private fun stepInEra(state: LeaseState, message: LeaseMessage, now: Duration): Step = when (message) {
        LeaseMessage.Tick -> tick(state, now)
        is LeaseMessage.CallEnded -> state.ifPending(message.call) { callEnded(it, message, now) }
        is LeaseMessage.HolderAnnounced -> state.holderAnnounced(message.epoch, now).with()
        is LeaseMessage.HolderRenewed -> holderRenewed(state, message, now)
        is LeaseMessage.StoreRestored ->
            if (message.era > state.era) restored(state, message.era, message.isActing, now) else state.with()
        is LeaseMessage.EpochSeen -> state.withEpochSeen(message.epoch).with()
        is LeaseMessage.RankChanged -> state.copy(rank = message.rank).with()
        LeaseMessage.Superseded -> state.copy(nextCallAt = now, seen = null).with()
        LeaseMessage.Release -> tick(state.copy(releasing = true, nextCallAt = now), now)
    }

    private fun holderRenewed(state: LeaseState, message: LeaseMessage.HolderRenewed, now: Duration): Step {
        val claimed = message.lease.version.era
        val next = state.holderRenewed(message.lease, message.age, now)
        return if (next.isEraUnverified(claimed)) read(next.eraClaimed(claimed)) else next.with()
    }

    private fun callEnded(state: LeaseState, message: LeaseMessage.CallEnded, now: Duration): Step = when (message) {
        is LeaseMessage.ReadAnswered -> answered(state, message, now)
        is LeaseMessage.Written -> written(state, message.version, now)
        is LeaseMessage.Conflict -> state.retryLater(now).with()
        is LeaseMessage.ReadFailed, is LeaseMessage.OutcomeUnknown, is LeaseMessage.WriteFailed ->
            state.retryAfterFailure(now).with()
    }

    private fun tick(state: LeaseState, now: Duration): Step = when {
        state.call != null || now < state.nextCallAt -> state.with()
        state.pending != null || state.seen == null -> read(state)
        state.releasing -> release(state, now)
        state.held != null -> renew(state, state.held, now)
        state.canTakeOver(now) -> takeOver(state, now)
        else -> read(state)
    }

    private fun read(state: LeaseState): Step {
        val call = LeaseCall(state.calls + 1, write = false)
        return state.copy(call = call, calls = call.number).with(LeaseEffect.Read(call.number))
    }

    private fun write(state: LeaseState, record: LeaseRecord, expected: StorePosition?, now: Duration): Step {
        val call = LeaseCall(state.calls + 1, write = true)
        val sentAt = state.pending?.sentAt ?: now
        val next =
            state.copy(call = call, calls = call.number, pending = PendingWrite(record, expected, sentAt))
        return next.with(LeaseEffect.Write(call.number, expected, record))
    }

    private fun renew(state: LeaseState, held: HeldLease, now: Duration): Step =
        if (now < held.renewedAt + state.settings.renewInterval) {
            state.with()
        } else {
            val record = held.seen.record
            write(state, record.copy(renewal = record.renewal + 1), held.seen.version, now)
        }

    private fun takeOver(state: LeaseState, now: Duration): Step {
        val number = state.acquisitions + 1
        val record =
            LeaseRecord(
                holder = state.self,
                epoch = state.nextEpoch(),
                nonce = "${state.self.value}-${state.incarnation}-$number",
                duration = state.settings.duration,
            )
        return write(state.copy(acquisitions = number), record, state.seen?.version, now)
    }

    private fun release(state: LeaseState, now: Duration): Step {
        val held = state.held ?: return state.copy(nextCallAt = Duration.INFINITE).with(LeaseEffect.Released)
        return write(state, held.seen.record.copy(holder = null), held.seen.version, now)
    }

    private fun written(state: LeaseState, version: StorePosition, now: Duration): Step {
        val write = state.pending ?: return state.with()
        // In another era than that of its condition, the write may have replaced another record of the same revision.
        if (version.era != (write.expected?.era ?: state.era)) {
            return state.copy(pending = null, seen = null, nextCallAt = now).with()
        }
        return writeConfirmed(state, StoredLease(version, write.record), write, now)
    }

    /** Applies that [write] took effect and made [lease]. */
    private fun writeConfirmed(state: LeaseState, lease: StoredLease, write: PendingWrite, now: Duration): Step {
        val next = state.withEpochSeen(lease.record.epoch)
            .copy(seen = lease, seenAt = now, pending = null, nextCallAt = now)
        if (lease.record.holder == null) {
            val effects =
                listOfNotNull(state.held?.let { LeaseEffect.Lost(it.seen.record.epoch) }, LeaseEffect.Released)
            return Transition(next.copy(held = null, nextCallAt = Duration.INFINITE), effects)
        }
        val acquired = state.held?.seen?.record?.nonce != lease.record.nonce
        val held = next.copy(held = HeldLease(lease, write.sentAt))
        return if (acquired) {
            held.with(LeaseEffect.Acquired(lease.record.epoch, former = lease.record.epoch > LeaseEpoch(1)))
        } else {
            held.with()
        }
    }

    private fun answered(state: LeaseState, answer: LeaseMessage.ReadAnswered, now: Duration): Step {
        val isOfEarlierEra = (answer.answeredEra ?: state.era) < state.era
        return if (isOfEarlierEra) state.retryLater(now).with() else readAnswered(state, answer.lease, now)
    }

    private fun readAnswered(state: LeaseState, lease: StoredLease?, now: Duration): Step {
        val known = state.seen?.version
        val stale = known != null && (lease == null || lease.version < known)
        val write = state.pending
        return when {
            stale -> state.retryLater(now).with()
            write != null -> resolveWrite(state, write, lease, now)
            lease == null -> absenceObserved(state, now)
            else -> recordObserved(state, lease, now)
        }
    }

    private fun absenceObserved(state: LeaseState, now: Duration): Step = when {
        state.releasing -> release(state, now)
        state.continuesAsHolder(now) || now >= state.earlierHolderEndsAt() -> takeOver(state, now)
        else -> state.copy(nextCallAt = minOf(now + state.settings.retryInterval, state.earlierHolderEndsAt())).with()
    }

    /** Determines from the object read whether [write] took effect: then the object contains the written record. */
    private fun resolveWrite(state: LeaseState, write: PendingWrite, lease: StoredLease?, now: Duration): Step = when {
        lease != null && lease.version != write.expected && lease.record == write.record ->
            writeConfirmed(state, lease, write, now)
        // The write may still take effect. Writing the same record over the same version again is safe in either case.
        lease?.version == write.expected -> write(state, write.record, write.expected, now)
        lease == null -> state.retryLater(now).with()
        else -> recordObserved(state.copy(pending = null), lease, now)
    }

    private fun recordObserved(state: LeaseState, lease: StoredLease, now: Duration): Step {
        val unchanged = state.seen?.version == lease.version
        val next = state.withEpochSeen(lease.record.epoch).copy(
            seen = lease,
            seenAt = if (unchanged) state.seenAt else now,
            unchangedAt = if (unchanged) state.unchangedAt ?: now else null,
        )
        val held = state.held
        return when {
            held != null && held.seen.record.nonce == lease.record.nonce ->
                next.copy(held = held.copy(seen = lease), nextCallAt = now).with()
            held != null -> next.copy(held = null).retryLater(now).with(LeaseEffect.Lost(held.seen.record.epoch))
            next.isOfEarlierEra(lease.record.epoch) && next.continuesAsHolder(now) -> takeOver(next, now)
            else -> next.copy(nextCallAt = next.nextReadAt(now, unchanged)).with()
        }
    }

    /** Applies [next] if the call [number] is pending; ignores the answer of any other call. */
    private fun LeaseState.ifPending(number: Long, next: (LeaseState) -> Step): Step =
        if (call?.number == number) next(copy(call = null)) else with()
}
