package redwingcross.version.lease

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.request.ProcessName
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.simulation.FaultyObject
import redwingcross.version.simulation.LostWrite
import redwingcross.version.simulation.VirtualTime
import redwingcross.version.simulation.WriteOutcome
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two holders that act at the same time and against a lease that no controller acquires any more. Clocks
 * run up to 10% too fast or too slow; steps are pauses, restarts, releases, outages, stale reads and lost answers. The
 * incarnations of the controllers are equal, as those of processes that start in the same millisecond.
 */
class LeaseProperties {
    enum class Kind { WAIT, PAUSE, RESTART, RELEASE, OUTAGE, STALE_READS, LOSE_ANSWERS, SLOW }

    data class Step(val kind: Kind, val controller: Int, val amount: Int) {
        override fun toString() = "$kind($controller, $amount)"
    }

    @Provide
    fun scripts(): Arbitrary<List<Step>> = Combinators
        .combine(
            Arbitraries.of(Kind::class.java),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 20),
        )
        .`as`(::Step)
        .list()
        .ofMinSize(5)
        .ofMaxSize(60)

    @Property(seed = "5501", tries = 400)
    fun `at most one holder acts at any time and the epoch increases with each new holder`(
        @ForAll("scripts") script: List<Step>,
    ) {
        checkScript(script, LeaseSimulation(LeaseSettings()))
    }

    @Property(seed = "5502", tries = 400)
    fun `the same holds if restarted holders take back the leases of their earlier starts`(
        @ForAll("scripts") script: List<Step>,
    ) {
        checkScript(script, LeaseSimulation(LeaseSettings(reclaimsAfterRestart = true)))
    }

    private fun checkScript(script: List<Step>, simulation: LeaseSimulation) {
        script.forEach(simulation::applyStep)
        simulation.clearFaults()
        simulation.time.advance(60.seconds, simulation::check)
        assertEquals(1, simulation.acting().size, "number of controllers that hold the lease after the faults")
    }

    private class Controller(val index: Int, val simulation: LeaseSimulation) {
        val rate = listOf(0.9, 1.0, 1.1)[index]
        var startCount = 0
        var pausedUntil = Duration.ZERO
        var state = LeaseState(ProcessName("c$index"), "0", simulation.settings)
        val time get() = simulation.time

        fun now(): Duration = time.now * rate + (index * 1000).seconds

        fun restart() {
            startCount += 1
            state = LeaseState(ProcessName("c$index"), "$startCount", simulation.settings, rank = index)
        }

        fun tick() {
            if (time.now >= pausedUntil) step(LeaseMessage.Tick)
            time.after(250.milliseconds, ::tick)
        }

        /** Delivers a response to the process that requested it; a paused process receives it when it resumes. */
        fun deliver(forStart: Int, message: LeaseMessage) {
            when {
                forStart != startCount -> Unit
                time.now < pausedUntil -> time.after(pausedUntil - time.now) { deliver(forStart, message) }
                else -> step(message)
            }
        }

        fun step(message: LeaseMessage) {
            val transition = LeaseDecision.step(state, message, now())
            state = transition.state
            transition.effects.forEach(::carryOut)
        }

        private fun carryOut(effect: LeaseEffect) {
            val requestingStart = startCount
            when (effect) {
                is LeaseEffect.Read ->
                    simulation.store.read(
                        { found ->
                            val lease = found?.let { StoredLease(StorePosition.inFirstEra(it.first), it.second) }
                            deliver(requestingStart, LeaseMessage.ReadAnswered(effect.call, lease))
                        },
                        { deliver(requestingStart, LeaseMessage.ReadFailed(effect.call)) },
                    )
                is LeaseEffect.Write ->
                    simulation.store.write(effect.expected?.revision?.value, effect.record) { end ->
                        deliver(requestingStart, end.toMessage(effect.call))
                    }
                is LeaseEffect.Acquired, is LeaseEffect.Lost, LeaseEffect.Released -> Unit
            }
        }

        private fun WriteOutcome.toMessage(call: Long): LeaseMessage = when (this) {
            is WriteOutcome.Written -> LeaseMessage.Written(call, StorePosition.inFirstEra(version))
            WriteOutcome.Conflict -> LeaseMessage.Conflict(call)
            WriteOutcome.NoEffect -> LeaseMessage.WriteFailed(call)
            WriteOutcome.Unknown -> LeaseMessage.OutcomeUnknown(call)
        }
    }

    private class LeaseSimulation(val settings: LeaseSettings) {
        val time = VirtualTime()
        val store = FaultyObject<LeaseRecord>(time)
        private val controllers = List(3) { Controller(it, this) }
        private var highest = LeaseEpoch(0)
        private val owners = HashMap<LeaseEpoch, Pair<Int, Int>>()

        init {
            controllers.forEach { time.after((it.index * 70).milliseconds, it::tick) }
        }

        fun acting() = controllers.filter { it.state.validEpoch(it.now()) != null }

        fun check() {
            val acting = acting().map { "${it.index} epoch ${it.state.validEpoch(it.now())}" }
            assertTrue(acting.size <= 1, "several controllers act at ${time.now}: $acting")
            acting().forEach { controller ->
                val epoch = controller.state.validEpoch(controller.now()) ?: return
                assertTrue(epoch >= highest, "epoch $epoch acts after epoch $highest")
                assertEquals(
                    controller.index to controller.startCount,
                    owners.getOrPut(epoch) {
                        controller.index to
                            controller.startCount
                    },
                )
                highest = epoch
            }
        }

        fun applyStep(step: Step) {
            val controller = controllers[step.controller]
            val length = (step.amount * 700).milliseconds
            when (step.kind) {
                Kind.WAIT -> time.advance(length * 2, ::check)
                Kind.PAUSE -> controller.pausedUntil = maxOf(controller.pausedUntil, time.now + length)
                Kind.RESTART -> controller.restart()
                Kind.RELEASE -> controller.release()
                Kind.OUTAGE -> store.downUntil = time.now + length
                Kind.STALE_READS -> store.staleReads = step.amount
                Kind.LOSE_ANSWERS ->
                    store.lostWrites +=
                        List(1 + step.amount % 3) { LostWrite.entries[(step.amount + it) % 3] }
                Kind.SLOW -> store.delay = (step.amount * 150).milliseconds
            }
            time.advance(100.milliseconds, ::check)
        }

        private fun Controller.release() {
            if (time.now >= pausedUntil) step(LeaseMessage.Release)
        }

        fun clearFaults() {
            store.lostWrites.clear()
            store.staleReads = 0
            store.delay = 10.milliseconds
            store.downUntil = Duration.ZERO
            controllers.filter { it.state.releasing }.forEach { it.restart() }
        }
    }
}
