package redwingcross.version.lease

import redwingcross.request.ProcessName
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.simulation.FaultyObject
import redwingcross.version.simulation.VirtualTime
import redwingcross.version.simulation.WriteOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a lease that is taken from a holder that renews it, or that is kept by one that can't renew it. */
class LeaseDecisionTest {
    private val time = VirtualTime()
    private val store = FaultyObject<LeaseRecord>(time)
    private val holder = Process("holder")
    private val standby = Process("standby")

    /** A process with an access to the store of its own; it sends what it holds to [listener] with each tick. */
    private inner class Process(name: String, incarnation: String = "1", reclaims: Boolean = false) {
        var state = LeaseState(ProcessName(name), incarnation, settings.copy(reclaimsAfterRestart = reclaims))
        var isPaused = false
        var isTurnedAway = false
        var listener: Process? = null
        val holds: Boolean get() = state.held != null

        fun start(): Unit = tick()

        private fun tick() {
            if (!isPaused) {
                step(LeaseMessage.Tick)
                listener?.hear(state)
            }
            time.after(100.milliseconds, ::tick)
        }

        private fun hear(other: LeaseState) {
            val held = other.held ?: return
            if (isPaused) return
            step(LeaseMessage.HolderRenewed(held.seen, time.now - held.renewedAt))
        }

        fun step(message: LeaseMessage) {
            val transition = LeaseDecision.step(state, message, time.now)
            state = transition.state
            for (effect in transition.effects) {
                when (effect) {
                    is LeaseEffect.Read -> if (isTurnedAway) {
                        answer(LeaseMessage.ReadFailed(effect.call))
                    } else {
                        store.read(
                            { found -> answer(LeaseMessage.ReadAnswered(effect.call, found?.let(::stored))) },
                            { answer(LeaseMessage.ReadFailed(effect.call)) },
                        )
                    }
                    is LeaseEffect.Write -> if (isTurnedAway) {
                        answer(LeaseMessage.WriteFailed(effect.call))
                    } else {
                        store.write(effect.expected?.revision?.value, effect.record) {
                            answer(it.toMessage(effect.call))
                        }
                    }
                    else -> Unit
                }
            }
        }

        private fun answer(message: LeaseMessage) {
            if (!isPaused) step(message)
        }
    }

    private fun stored(found: Pair<Long, LeaseRecord>) =
        StoredLease(StorePosition.inFirstEra(found.first), found.second)

    private fun WriteOutcome.toMessage(call: Long): LeaseMessage = when (this) {
        is WriteOutcome.Written -> LeaseMessage.Written(call, StorePosition.inFirstEra(version))
        WriteOutcome.Conflict -> LeaseMessage.Conflict(call)
        WriteOutcome.NoEffect -> LeaseMessage.WriteFailed(call)
        WriteOutcome.Unknown -> LeaseMessage.OutcomeUnknown(call)
    }

    private fun advance(duration: Duration) = time.advance(duration) {}

    private fun startBoth() {
        holder.listener = standby
        holder.start()
        advance(50.milliseconds)
        standby.start()
        advance(2.seconds)
        assertHolderKept()
    }

    /** The holder has the lease without an interruption. */
    private fun assertHolderKept() {
        assertEquals(listOf(true, false), listOf(holder.holds, standby.holds))
        assertEquals(LeaseEpoch(1), holder.state.held?.seen?.record?.epoch)
    }

    @Test
    fun `a standby that wakes from a pause does not take the lease from a holder that renews it`() {
        startBoth()
        standby.isPaused = true
        advance(5.seconds + 70.milliseconds)
        standby.isPaused = false
        advance(2.seconds)
        assertHolderKept()
    }

    @Test
    fun `a standby that does not hear the holder does not take the lease while the holder renews it`() {
        startBoth()
        holder.listener = null
        advance(5.seconds)
        assertHolderKept()
    }

    @Test
    fun `a standby takes the lease of a holder that has ended`() {
        startBoth()
        holder.isPaused = true
        advance(1500.milliseconds)
        assertEquals(LeaseEpoch(2), standby.state.held?.seen?.record?.epoch)
    }

    @Test
    fun `a standby takes the lease of a holder that it hears and that the store turns away`() {
        startBoth()
        holder.isTurnedAway = true
        advance(1600.milliseconds)
        assertEquals(LeaseEpoch(2), standby.state.held?.seen?.record?.epoch)
    }

    @Test
    fun `the holder keeps the lease through an outage of the store for all processes`() {
        startBoth()
        store.downUntil = time.now + 7.seconds
        advance(12.seconds)
        assertHolderKept()
    }

    @Test
    fun `a standby sends few calls to a store that is down while it hears the holder`() {
        startBoth()
        store.downUntil = time.now + 8.seconds
        val before = standby.state.calls
        advance(8.seconds)
        assertTrue(standby.state.calls - before <= 4, "${standby.state.calls - before} calls in 8 s")
    }

    @Test
    fun `a standby that hears the holder's renewals does not read the lease`() {
        startBoth()
        val before = standby.state.calls
        advance(10.seconds)
        assertEquals(before, standby.state.calls)
    }

    /** The holder ends, and its next start begins at the same moment. */
    private fun restartedHolder(incarnation: String, reclaims: Boolean): Process {
        startBoth()
        holder.isPaused = true
        return Process("holder", incarnation, reclaims).also { it.start() }
    }

    @Test
    fun `a restarted holder takes back the lease of its earlier start without waiting for its expiry`() {
        val restarted = restartedHolder("2", reclaims = true)
        advance(300.milliseconds)
        assertEquals(LeaseEpoch(2), restarted.state.held?.seen?.record?.epoch)
        advance(3.seconds)
        assertEquals(listOf(true, false), listOf(restarted.holds, standby.holds))
    }

    @Test
    fun `a start that is not later than the holder's doesn't take the lease from it`() {
        val other = restartedHolder("1", reclaims = true)
        advance(900.milliseconds)
        assertEquals(null, other.state.held)
    }

    @Test
    fun `without the feature a restarted holder waits for the expiry`() {
        val restarted = restartedHolder("2", reclaims = false)
        advance(900.milliseconds)
        assertEquals(null, restarted.state.held)
    }

    @Test
    fun `a restarted holder doesn't take the lease from a standby that has it`() {
        startBoth()
        holder.isPaused = true
        advance(1500.milliseconds)
        val restarted = Process("holder", "2", reclaims = true).also { it.start() }
        standby.listener = restarted
        advance(3.seconds)
        assertEquals(listOf(false, true), listOf(restarted.holds, standby.holds))
    }

    private companion object {
        val settings = LeaseSettings(
            duration = 1.2.seconds,
            renewInterval = 0.5.seconds,
            margin = 0.2.seconds,
            retryInterval = 0.3.seconds,
            rankDelay = 0.2.seconds,
            renewalOverdueAfter = 0.95.seconds,
            confirmDelay = 0.4.seconds,
            outageRetryInterval = 2.seconds,
        )
    }
}
