package redwingcross.version.lease

import redwingcross.request.Transition
import redwingcross.request.with
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

private typealias Step = Transition<LeaseState, LeaseEffect>

/**
 * Decides when to read, take, renew and give up the lease of a zone.
 *
 * A takeover is safe without comparing clocks: the write is conditional on a version that this process has known for
 * the whole duration, and the holder sent the renewal that made that version before.
 */
object LeaseDecision {
    fun step(state: LeaseState, message: LeaseMessage, now: Duration): Step = when (message) {
        LeaseMessage.Tick -> tick(state, now)
        is LeaseMessage.ReadAnswered -> state.answering(message.call) { readAnswered(it, message.lease, now) }
        is LeaseMessage.ReadFailed -> state.answering(message.call) { it.pausing(now).with() }
        is LeaseMessage.Written -> state.answering(message.call) { written(it, message.version, now) }
        is LeaseMessage.Conflict -> state.answering(message.call) { it.pausing(now).with() }
        is LeaseMessage.OutcomeUnknown -> state.answering(message.call) { it.pausing(now).with() }
        is LeaseMessage.WriteFailed -> state.answering(message.call) { it.pausing(now).with() }
        is LeaseMessage.HolderAnnounced -> holderAnnounced(state, message.epoch, now)
        is LeaseMessage.HolderRenewed -> holderRenewed(state, message.lease, now)
        is LeaseMessage.RankChanged -> state.copy(rank = message.rank).with()
        LeaseMessage.Superseded -> state.copy(nextCallAt = now, seen = null).with()
        LeaseMessage.Release -> tick(state.copy(releasing = true, nextCallAt = now), now)
    }

    private fun tick(state: LeaseState, now: Duration): Step = when {
        state.call != null || now < state.nextCallAt -> state.with()
        state.unsettled != null || state.seen == null -> read(state)
        state.releasing -> release(state, now)
        state.held != null -> renew(state, state.held, now)
        state.mayTakeOver(now) -> takeOver(state, now)
        else -> read(state)
    }

    private fun read(state: LeaseState): Step {
        val call = LeaseCall(state.calls + 1, write = false)
        return state.copy(call = call, calls = call.number).with(LeaseEffect.Read(call.number))
    }

    private fun write(state: LeaseState, record: LeaseRecord, expected: LeaseVersion?, now: Duration): Step {
        val call = LeaseCall(state.calls + 1, write = true)
        val sentAt = state.unsettled?.sentAt ?: now
        val next =
            state.copy(call = call, calls = call.number, unsettled = UnsettledWrite(record, expected, sentAt))
        return next.with(LeaseEffect.Write(call.number, expected, record))
    }

    private fun renew(state: LeaseState, held: HeldLease, now: Duration): Step =
        if (now < held.renewedAt + state.settings.renewInterval) {
            state.with()
        } else {
            write(state, held.seen.record, held.seen.version, now)
        }

    private fun takeOver(state: LeaseState, now: Duration): Step {
        val number = state.acquisitions + 1
        val record =
            LeaseRecord(
                holder = state.self,
                epoch = LeaseEpoch((state.seen?.record?.epoch?.value ?: 0) + 1),
                nonce = "${state.incarnation}-$number",
                duration = state.settings.duration,
            )
        return write(state.copy(acquisitions = number), record, state.seen?.version, now)
    }

    private fun release(state: LeaseState, now: Duration): Step {
        val held = state.held ?: return state.copy(nextCallAt = Duration.INFINITE).with(LeaseEffect.Released)
        return write(state, held.seen.record.copy(holder = null), held.seen.version, now)
    }

    private fun written(state: LeaseState, version: LeaseVersion, now: Duration): Step {
        val write = state.unsettled ?: return state.with()
        return settled(state, StoredLease(version, write.record), write, now)
    }

    /** [write] is known to have made [lease]. */
    private fun settled(state: LeaseState, lease: StoredLease, write: UnsettledWrite, now: Duration): Step {
        val next = state.copy(seen = lease, seenAt = now, unsettled = null, nextCallAt = now)
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
        val write = state.unsettled
        return when {
            stale -> state.pausing(now).with()
            write != null -> readBack(state, write, lease, now)
            lease == null -> if (state.releasing) release(state, now) else takeOver(state, now)
            else -> observed(state, lease, now)
        }
    }

    /** Settles a write by the object's content: the nonce says whether it took effect. */
    private fun readBack(state: LeaseState, write: UnsettledWrite, lease: StoredLease?, now: Duration): Step = when {
        lease != null && lease.version != write.expected && lease.record == write.record ->
            settled(state, lease, write, now)
        // It may still take effect. Writing the same record again over the same version is safe in either case.
        lease?.version == write.expected -> write(state, write.record, write.expected, now)
        lease == null -> state.pausing(now).with()
        else -> observed(state.copy(unsettled = null), lease, now)
    }

    private fun observed(state: LeaseState, lease: StoredLease, now: Duration): Step {
        val unchanged = state.seen?.version == lease.version
        val next = state.copy(seen = lease, seenAt = if (unchanged) state.seenAt else now)
        val held = state.held
        return when {
            held != null && held.seen.record.nonce == lease.record.nonce ->
                next.copy(held = held.copy(seen = lease), nextCallAt = now).with()
            held != null -> next.copy(held = null).pausing(now).with(LeaseEffect.Lost(held.seen.record.epoch))
            else -> next.copy(nextCallAt = next.nextReadAt(now, unchanged)).with()
        }
    }

    /** A holder that was heard or has renewed is left alone for the lease duration and the delay of the rank. */
    private fun LeaseState.nextReadAt(now: Duration, unchanged: Boolean): Duration = when {
        mayTakeOver(now) -> now
        unchanged -> minOf(now + settings.retryInterval, seenAt + settings.duration)
        else -> now + settings.retryInterval
    }

    private fun holderAnnounced(state: LeaseState, epoch: LeaseEpoch, now: Duration): Step {
        val newest = state.seen?.record?.epoch ?: LeaseEpoch(0)
        return if (state.held == null && !state.releasing && epoch >= newest) {
            val silence = state.settings.duration + state.settings.rankDelay * state.rank
            state.copy(nextCallAt = maxOf(state.nextCallAt, now + silence)).with()
        } else {
            state.with()
        }
    }

    /** Knowing the newest version lets a standby take over without reading first; the write is conditional on it. */
    private fun holderRenewed(state: LeaseState, lease: StoredLease, now: Duration): Step {
        val isNewer = state.seen == null || lease.version > state.seen.version
        val isBystander = state.held == null && state.unsettled == null && !state.releasing
        if (!isNewer || !isBystander) return state.with()
        return holderAnnounced(state.copy(seen = lease, seenAt = now), lease.record.epoch, now)
    }

    private fun LeaseState.mayTakeOver(now: Duration): Boolean {
        val current = seen ?: return false
        return current.record.holder == null || now >= seenAt + maxOf(settings.duration, current.record.duration)
    }

    private fun LeaseState.pausing(now: Duration): LeaseState = copy(nextCallAt = now + settings.retryInterval)

    /** Ignores the answer of a call that is no longer awaited. */
    private fun LeaseState.answering(number: Long, next: (LeaseState) -> Step): Step =
        if (call?.number == number) next(copy(call = null)) else with()
}
