package redwingcross.version.lease

import redwingcross.request.Transition
import redwingcross.request.with
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
 */
object LeaseDecision {
    /** Computes the next state and effects of [message] at [now]. */
    fun step(state: LeaseState, message: LeaseMessage, now: Duration): Step = when (message) {
        LeaseMessage.Tick -> tick(state, now)
        is LeaseMessage.ReadAnswered -> state.ifPending(message.call) { readAnswered(it, message.lease, now) }
        is LeaseMessage.ReadFailed -> state.ifPending(message.call) { it.retryAfterFailure(now).with() }
        is LeaseMessage.Written -> state.ifPending(message.call) { written(it, message.version, now) }
        is LeaseMessage.Conflict -> state.ifPending(message.call) { it.retryLater(now).with() }
        is LeaseMessage.OutcomeUnknown -> state.ifPending(message.call) { it.retryAfterFailure(now).with() }
        is LeaseMessage.WriteFailed -> state.ifPending(message.call) { it.retryAfterFailure(now).with() }
        is LeaseMessage.HolderAnnounced -> holderAnnounced(state, message.epoch, now)
        is LeaseMessage.HolderRenewed -> holderRenewed(state, message.lease, message.age, now)
        is LeaseMessage.RankChanged -> state.copy(rank = message.rank).with()
        LeaseMessage.Superseded -> state.copy(nextCallAt = now, seen = null).with()
        LeaseMessage.Release -> tick(state.copy(releasing = true, nextCallAt = now), now)
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
            write(state, held.seen.record.nextRenewal(), held.seen.version, now)
        }

    private fun LeaseRecord.nextRenewal() = copy(renewal = renewal + 1)

    private fun takeOver(state: LeaseState, now: Duration): Step {
        val number = state.acquisitions + 1
        val record =
            LeaseRecord(
                holder = state.self,
                epoch = LeaseEpoch((state.seen?.record?.epoch?.value ?: 0) + 1),
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
        return writeConfirmed(state, StoredLease(version, write.record), write, now)
    }

    /** Applies that [write] took effect and made [lease]. */
    private fun writeConfirmed(state: LeaseState, lease: StoredLease, write: PendingWrite, now: Duration): Step {
        val next = state.copy(seen = lease, seenAt = now, pending = null, nextCallAt = now)
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

    private fun readAnswered(state: LeaseState, lease: StoredLease?, now: Duration): Step {
        val known = state.seen?.version
        val stale = known != null && (lease == null || lease.version < known)
        val write = state.pending
        return when {
            stale -> state.retryLater(now).with()
            write != null -> resolveWrite(state, write, lease, now)
            lease == null -> if (state.releasing) release(state, now) else takeOver(state, now)
            else -> recordObserved(state, lease, now)
        }
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
        val next = state.copy(
            seen = lease,
            seenAt = if (unchanged) state.seenAt else now,
            unchangedAt = if (unchanged) state.unchangedAt ?: now else null,
        )
        val held = state.held
        return when {
            held != null && held.seen.record.nonce == lease.record.nonce ->
                next.copy(held = held.copy(seen = lease), nextCallAt = now).with()
            held != null -> next.copy(held = null).retryLater(now).with(LeaseEffect.Lost(held.seen.record.epoch))
            else -> next.copy(nextCallAt = next.nextReadAt(now, unchanged)).with()
        }
    }

    /** Postpones the next call by the lease duration and the delay of this process's rank: the holder is alive. */
    private fun holderAnnounced(state: LeaseState, epoch: LeaseEpoch, now: Duration): Step {
        val newest = state.seen?.record?.epoch ?: LeaseEpoch(0)
        return if (state.held == null && !state.releasing && epoch >= newest) {
            val silence = state.settings.duration + state.settings.rankDelay * state.rank
            state.copy(nextCallAt = maxOf(state.nextCallAt, now + silence)).with()
        } else {
            state.with()
        }
    }

    /**
     * Records the announced version, so that a standby can take over without reading the lease first if the holder
     * ends. A renewal postpones the next call; a holder that is heard but doesn't renew the lease postpones nothing.
     */
    private fun holderRenewed(state: LeaseState, lease: StoredLease, age: Duration, now: Duration): Step {
        val known = state.seen?.version
        val isStandby = state.held == null && state.pending == null && !state.releasing
        if (!isStandby || known != null && lease.version < known) return state.with()
        val heard = state.copy(holderHeardAt = now)
        if (lease.version == known) return heard.with()
        val renewedAt = now - age
        val overdueAt = renewedAt + state.settings.renewalOverdueAfter + state.settings.rankDelay * state.rank
        return heard.copy(seen = lease, seenAt = renewedAt, unchangedAt = null, nextCallAt = overdueAt).with()
    }

    /** Applies [next] if the call [number] is pending; ignores the answer of any other call. */
    private fun LeaseState.ifPending(number: Long, next: (LeaseState) -> Step): Step =
        if (call?.number == number) next(copy(call = null)) else with()
}
