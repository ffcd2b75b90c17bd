package redwingcross.version.lease

import redwingcross.request.ProcessName
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a lease that is kept, taken or refused wrongly when the store has come back from an older copy. */
class LeaseRestoreTest {
    private var now: Duration = 100.seconds
    private val settings = LeaseSettings(
        duration = 1.2.seconds,
        renewInterval = 0.5.seconds,
        margin = 0.2.seconds,
        retryInterval = 0.3.seconds,
    )
    private var state = LeaseState(ProcessName("n1"), "7", settings)
    private var effects = emptyList<LeaseEffect>()

    private fun stepOnce(message: LeaseMessage) {
        val transition = LeaseDecision.step(state, message, now)
        state = transition.state
        effects = transition.effects
    }

    /** Passes [message] on as the owning task does: a newer era that it states comes first. */
    private fun step(message: LeaseMessage) {
        val era = message.answeredEra?.takeIf { it > state.era } ?: return stepOnce(message)
        stepOnce(LeaseMessage.StoreRestored(era, isActing = state.validEpoch(now) != null))
        val ofRestore = effects
        stepOnce(message)
        effects = ofRestore + effects
    }

    private fun at(era: Long, revision: Long) = StorePosition(StoreEra(era), StoreRevision(revision))

    private fun record(holder: String?, epoch: Long, nonce: String = "$holder-7-1") =
        LeaseRecord(holder?.let(::ProcessName), LeaseEpoch(epoch), nonce, 1.2.seconds)

    private val call: Long get() = checkNotNull(state.call).number

    private fun answer(lease: StoredLease?, era: Long) = step(LeaseMessage.ReadAnswered(call, lease, StoreEra(era)))

    private val write: LeaseEffect.Write get() = assertIs<LeaseEffect.Write>(effects.single())

    /** Ticks each 100 ms; every read is answered with [lease] until something is written, or [limit] has passed. */
    private fun timeToWrite(lease: StoredLease?, era: Long, limit: Duration = 5.seconds): Duration? {
        val start = now
        while (now - start <= limit) {
            if (state.call == null) step(LeaseMessage.Tick)
            if (effects.any { it is LeaseEffect.Write }) return now - start
            if (state.call != null) answer(lease, era)
            if (effects.any { it is LeaseEffect.Write }) return now - start
            now += 100.milliseconds
        }
        return null
    }

    /** Acquires the lease in era 0 under epoch 3, over revision 40. */
    private fun acquire() {
        step(LeaseMessage.Tick)
        answer(StoredLease(at(0, 40), record(null, 2)), 0)
        step(LeaseMessage.Tick)
        step(LeaseMessage.Written(write.call, at(0, 41)))
        assertEquals(LeaseEpoch(3), state.validEpoch(now))
    }

    private fun restored(isActing: Boolean, era: Long = 1) = step(LeaseMessage.StoreRestored(StoreEra(era), isActing))

    @Test
    fun `the holder does not go on under a lease that the store has lost`() {
        acquire()
        restored(isActing = true)
        assertNull(state.held)
        assertEquals(listOf(LeaseEffect.Lost(LeaseEpoch(3)), LeaseEffect.Read(call)), effects)
    }

    @Test
    fun `the process that acted takes the restored lease over at once under an epoch of the new era`() {
        acquire()
        restored(isActing = true)
        answer(StoredLease(at(1, 35), record("n2", 1)), 1)
        assertEquals(at(1, 35), write.expected)
        assertEquals(LeaseEpoch(10_001), write.record.epoch)
        step(LeaseMessage.Written(write.call, at(1, 36)))
        assertEquals(LeaseEpoch(10_001), state.validEpoch(now))
    }

    @Test
    fun `the process that acted creates the lease again if the store has lost it altogether`() {
        acquire()
        restored(isActing = true)
        answer(null, 1)
        assertNull(write.expected)
        assertEquals(LeaseEpoch(10_001), write.record.epoch)
    }

    @Test
    fun `the process that acted leaves the lease to one that has acquired it in the new era`() {
        acquire()
        restored(isActing = true)
        answer(StoredLease(at(1, 36), record("n2", 10_001)), 1)
        assertEquals(emptyList(), effects)
        assertNull(state.held)
        assertEquals(LeaseEpoch(10_001), state.seen?.record?.epoch)
    }

    @Test
    fun `the process that acted does not take a lease over long after the restore`() {
        acquire()
        restored(isActing = true)
        now += 2.seconds
        answer(StoredLease(at(1, 35), record("n2", 1)), 1)
        assertEquals(emptyList(), effects)
    }

    @Test
    fun `no standby takes a released, absent or own lease while a holder of the lost history may act`() {
        for (lease in listOf(record(null, 2), null, record("n1", 2, nonce = "n1-6-1"))) {
            state = LeaseState(ProcessName("n1"), "7", settings.copy(reclaimsAfterRestart = true))
            step(LeaseMessage.Tick)
            answer(StoredLease(at(0, 40), record("n2", 2)), 0)
            restored(isActing = false)
            val waited = assertNotNull(timeToWrite(lease?.let { StoredLease(at(1, 35), it) }, 1), "$lease is not taken")
            assertEquals(1.2.seconds, waited, "wait for $lease")
        }
    }

    @Test
    fun `a process that starts after the restore waits for holders of the lost history`() {
        step(LeaseMessage.Tick)
        val waited = assertNotNull(timeToWrite(StoredLease(at(1, 35), record(null, 2)), 1))
        assertTrue(waited >= 1.2.seconds, "waited for $waited")
    }

    @Test
    fun `an answer of an earlier era does not bring its lease back`() {
        restored(isActing = false)
        answer(StoredLease(at(0, 90), record("n2", 5)), 0)
        assertNull(state.seen)
        assertEquals(emptyList(), effects)
        timeToWrite(StoredLease(at(1, 35), record("n2", 2)), 1, limit = 1.seconds)
        assertEquals(at(1, 35), state.seen?.version)
    }

    @Test
    fun `a lease that a newer era does not have is no stale answer`() {
        step(LeaseMessage.Tick)
        answer(StoredLease(at(0, 40), record("n2", 2)), 0)
        now += 1.2.seconds
        step(LeaseMessage.StoreRestored(StoreEra(1), isActing = false))
        assertEquals(1.2.seconds, timeToWrite(null, 1))
    }

    @Test
    fun `an acquisition whose condition met another record of the same revision does not count`() {
        step(LeaseMessage.Tick)
        answer(StoredLease(at(0, 40), record(null, 2)), 0)
        step(LeaseMessage.Tick)
        val sent = write
        step(LeaseMessage.Written(sent.call, at(1, 41)))
        assertNull(state.held)
        assertNull(state.pending)
        // The written record carries the nonce of this process and may have replaced one of a valid holder.
        assertEquals(1.2.seconds, timeToWrite(StoredLease(at(1, 41), sent.record), 1))
        assertEquals(LeaseEpoch(10_001), write.record.epoch)
    }

    @Test
    fun `a renewal that took effect in a newer era does not extend the lease`() {
        acquire()
        now += 1.1.seconds
        step(LeaseMessage.Tick)
        now += 2.seconds
        val sent = write
        step(LeaseMessage.Written(sent.call, at(1, 42)))
        assertNull(state.held)
        assertEquals(1.2.seconds, timeToWrite(StoredLease(at(1, 42), sent.record), 1))
    }

    @Test
    fun `a creation that took effect in a newer era does not count`() {
        step(LeaseMessage.Tick)
        answer(null, 0)
        val sent = write
        step(LeaseMessage.Written(sent.call, at(1, 1)))
        assertNull(state.held)
        assertEquals(1.2.seconds, timeToWrite(StoredLease(at(1, 1), sent.record), 1))
    }

    @Test
    fun `a write from before the restore whose answer comes after it does not count`() {
        acquire()
        now += 1.1.seconds
        step(LeaseMessage.Tick)
        val sent = write
        restored(isActing = true)
        step(LeaseMessage.Written(sent.call, at(1, 42)))
        assertNull(state.held)
    }

    @Test
    fun `a holder that has not seen the restore is not recorded`() {
        restored(isActing = false)
        step(LeaseMessage.HolderRenewed(StoredLease(at(0, 90), record("n2", 5))))
        assertNull(state.seen)
        assertNull(state.holderHeardAt)
    }

    @Test
    fun `an answer of a newer era does not end the lease before it is known whether the process acts`() {
        acquire()
        val held = state.held
        now += 600.milliseconds
        step(LeaseMessage.Tick)
        stepOnce(LeaseMessage.Written(write.call, at(1, 42)))
        assertEquals(emptyList(), effects)
        assertEquals(held, state.held)
        assertEquals(StoreEra.FIRST, state.era)
        now += settings.retryInterval
        step(LeaseMessage.Tick)
        assertEquals(listOf<LeaseEffect>(LeaseEffect.Read(call)), effects, "the outcome of the write is unknown")
        restored(isActing = true)
        answer(StoredLease(at(1, 42), record("n1", 3)), 1)
        assertEquals(LeaseEpoch(10_001), write.record.epoch)
    }

    private val claimed = StoredLease(at(9, 50), record("n2", 90_001))

    @Test
    fun `an era that only a message claims does not keep a process from the lease`() {
        step(LeaseMessage.HolderRenewed(claimed))
        val waited = assertNotNull(timeToWrite(StoredLease(at(0, 50), record("n2", 5)), 0), "the lease is not taken")
        assertEquals(1.2.seconds, waited)
        assertEquals(at(0, 50), write.expected)
    }

    @Test
    fun `an era that only a message claims does not end the lease of its holder`() {
        acquire()
        step(LeaseMessage.HolderRenewed(claimed))
        assertEquals(listOf<LeaseEffect>(LeaseEffect.Read(call)), effects)
        answer(StoredLease(at(0, 41), record("n1", 3)), 0)
        assertEquals(LeaseEpoch(3), state.validEpoch(now))
        assertEquals(StoreEra.FIRST, state.era)
        now += 600.milliseconds
        step(LeaseMessage.Tick)
        assertEquals(at(0, 41), write.expected)
    }

    @Test
    fun `an era that a message claims again and again does not cause a read each time`() {
        step(LeaseMessage.HolderRenewed(claimed))
        answer(StoredLease(at(0, 50), record("n2", 5)), 0)
        repeat(3) {
            step(LeaseMessage.HolderRenewed(claimed))
            assertEquals(emptyList(), effects)
        }
    }

    @Test
    fun `a claimed era does not make a process that has released the lease read it`() {
        step(LeaseMessage.Release)
        step(LeaseMessage.ReadAnswered(call, null))
        repeat(3) { if (state.call != null) step(LeaseMessage.Written(call, at(0, 1))) else step(LeaseMessage.Tick) }
        step(LeaseMessage.HolderRenewed(claimed))
        step(LeaseMessage.Tick)
        assertEquals(emptyList(), effects)
    }

    @Test
    fun `a claimed era is read although an answer of the earlier era is on its way`() {
        step(LeaseMessage.Tick)
        val earlier = call
        step(LeaseMessage.HolderRenewed(claimed))
        assertEquals(listOf<LeaseEffect>(LeaseEffect.Read(call)), effects)
        step(LeaseMessage.ReadAnswered(earlier, StoredLease(at(0, 40), record("n2", 2))))
        assertNull(state.seen, "the answer was sent before the claim")
    }

    @Test
    fun `a restore that a peer saw first ends the lease of the earlier era once the store confirms it`() {
        acquire()
        val renewed = StoredLease(at(1, 36), record("n2", 10_001))
        step(LeaseMessage.HolderRenewed(renewed))
        assertEquals(listOf<LeaseEffect>(LeaseEffect.Read(call)), effects)
        answer(renewed, 1)
        assertEquals(LeaseEffect.Lost(LeaseEpoch(3)), effects.first())
        assertNull(state.held)
        answer(renewed, 1)
        assertEquals(renewed, state.seen)
        restored(isActing = true)
        assertEquals(renewed, state.seen, "the restore is known already")
    }

    @Test
    fun `an epoch that was announced is not acquired again`() {
        step(LeaseMessage.EpochSeen(LeaseEpoch(10_007)))
        step(LeaseMessage.Tick)
        answer(StoredLease(at(0, 40), record(null, 2)), 0)
        step(LeaseMessage.Tick)
        assertEquals(LeaseEpoch(10_008), write.record.epoch)
    }

    @Test
    fun `an epoch of the lost history that nobody announced is not acquired again`() {
        restored(isActing = false, era = 2)
        assertNotNull(timeToWrite(StoredLease(at(2, 35), record("n2", 10_004)), 2))
        assertEquals(LeaseEpoch(20_001), write.record.epoch)
    }

    @Test
    fun `a process that stops does not take the restored lease`() {
        acquire()
        step(LeaseMessage.Release)
        restored(isActing = false)
        answer(StoredLease(at(1, 35), record("n2", 1)), 1)
        assertNull(timeToWrite(StoredLease(at(1, 35), record("n2", 1)), 1))
    }
}
