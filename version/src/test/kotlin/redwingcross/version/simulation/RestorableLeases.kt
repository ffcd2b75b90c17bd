package redwingcross.version.simulation

import redwingcross.request.ProcessName
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.LeaseSettings
import redwingcross.version.lease.LeaseState
import redwingcross.version.lease.StoredLease
import redwingcross.version.lease.answeredEra
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Three processes that compete for the lease in a [RestorableObject]; clocks run up to 5% too fast or too slow. */
internal class RestorableLeases(val settings: LeaseSettings) {
    val time = VirtualTime()
    val store = RestorableObject<LeaseRecord>(time) { replaced = maxOf(replaced, it.epoch) }
    val processes = List(3) { Process(it) }
    private val acquired = HashSet<LeaseEpoch>()

    /** Epochs that were acquired more than once. */
    val repeated = HashSet<LeaseEpoch>()

    /**
     * Highest epoch whose record was replaced by a process that knew only an earlier era. A process that neither read
     * nor heard of this acquisition before may repeat the epoch after the holder's time has ended.
     */
    private var replaced = LeaseEpoch(0)

    init {
        processes.forEach { time.after((it.index * 70).milliseconds, it::tick) }
    }

    inner class Process(val index: Int) {
        private val rate = listOf(0.95, 1.0, 1.05)[index]
        private var starts = 0
        private var ranAt = Duration.ZERO

        /** Whether the process acts as the controller task does: also through an outage that it follows. */
        private var isActing = false
        var pausedUntil = Duration.ZERO
        var cutOffUntil = Duration.ZERO
        var state = LeaseState(ProcessName("c$index"), "0", settings, rank = index)

        /** Epoch under which this process acts; null also while it is paused. */
        val actingEpoch: LeaseEpoch? get() = state.held?.seen?.record?.epoch?.takeIf { isActing && !isPaused }
        val validEpoch: LeaseEpoch? get() = state.validEpoch(now())
        private val isPaused get() = time.now < pausedUntil

        private fun now(): Duration = time.now * rate + (index * 1000).seconds

        fun restart() {
            starts += 1
            isActing = false
            state = LeaseState(ProcessName("c$index"), "$starts", settings, rank = index)
        }

        fun release() {
            if (!isPaused) step(LeaseMessage.Release)
        }

        fun tick() {
            if (!isPaused) {
                step(LeaseMessage.Tick)
                state.held?.takeIf { isActing }?.let { held ->
                    val age = now() - held.renewedAt
                    processes.filter { it !== this }.forEach { it.hear(LeaseMessage.HolderRenewed(held.seen, age)) }
                }
            }
            time.after(TICK, ::tick)
        }

        private fun hear(message: LeaseMessage) = time.after(10.milliseconds) { if (!isPaused) step(message) }

        private fun updateRole() {
            val isOutageFollowed = time.now < store.downUntil + OUTAGE_GRACE && time.now - ranAt < OUTAGE_GRACE
            isActing = state.held != null && !state.releasing && (validEpoch != null || isActing && isOutageFollowed)
            ranAt = time.now
        }

        /** A paused process receives an answer when it resumes, a restarted one not at all. */
        private fun deliver(forStart: Int, message: LeaseMessage): Unit = when {
            forStart != starts -> Unit
            isPaused -> time.after(pausedUntil - time.now) { deliver(forStart, message) }
            else -> {
                updateRole()
                val era = message.answeredEra
                if (era != null && era > state.era) step(LeaseMessage.StoreRestored(era, isActing))
                step(message)
            }
        }

        private fun step(message: LeaseMessage) {
            val transition = LeaseDecision.step(state, message, now())
            state = transition.state
            transition.effects.forEach(::carryOut)
            updateRole()
        }

        private fun carryOut(effect: LeaseEffect) {
            val start = starts
            when (effect) {
                is LeaseEffect.Read -> if (time.now < cutOffUntil) {
                    time.after(TICK) { deliver(start, LeaseMessage.ReadFailed(effect.call)) }
                } else {
                    store.read { deliver(start, it.toMessage(effect.call, isRead = true)) }
                }
                is LeaseEffect.Write -> if (time.now < cutOffUntil) {
                    time.after(TICK) { deliver(start, LeaseMessage.WriteFailed(effect.call)) }
                } else {
                    store.write(effect.expected?.era ?: state.era, effect.expected?.revision, effect.record) {
                        deliver(start, it.toMessage(effect.call))
                    }
                }
                is LeaseEffect.Acquired -> {
                    val isNew = acquired.add(effect.epoch)
                    if (!isNew) repeated += effect.epoch
                    assertTrue(isNew || effect.epoch <= replaced, "${effect.epoch} acquired again")
                }
                is LeaseEffect.Lost, LeaseEffect.Released -> Unit
            }
        }
    }

    private fun RestorableAnswer<LeaseRecord>.toMessage(call: Long, isRead: Boolean = false) = when (this) {
        is RestorableAnswer.Found ->
            LeaseMessage.ReadAnswered(call, value?.let { StoredLease(it.first, it.second) }, era)
        is RestorableAnswer.Written -> LeaseMessage.Written(call, position)
        RestorableAnswer.Conflict -> LeaseMessage.Conflict(call)
        RestorableAnswer.Failed -> if (isRead) LeaseMessage.ReadFailed(call) else LeaseMessage.WriteFailed(call)
        RestorableAnswer.Unknown -> LeaseMessage.OutcomeUnknown(call)
    }

    fun valid(): List<Process> = processes.filter { it.validEpoch != null }

    /** Checks that at most one process has a valid lease now, and that no two act under the same epoch. */
    fun check() {
        val valid = valid().map { "c${it.index} epoch ${it.validEpoch}" }
        assertTrue(valid.size <= 1, "several valid leases at ${time.now}: $valid")
        val acting = processes.mapNotNull { it.actingEpoch }
        assertEquals(acting.distinct(), acting, "epochs of the processes that act at ${time.now}")
    }

    /** Advances until a process has a valid lease; returns how long that took. */
    fun timeToHolder(limit: Duration): Duration {
        val start = time.now
        while (valid().isEmpty() && time.now - start < limit) time.advance(10.milliseconds, ::check)
        assertEquals(1, valid().size, "processes with a valid lease after $limit")
        return time.now - start
    }

    companion object {
        private val TICK = 100.milliseconds

        /** Longer than the interval of the calls during an outage. */
        private val OUTAGE_GRACE = 400.milliseconds
    }
}
