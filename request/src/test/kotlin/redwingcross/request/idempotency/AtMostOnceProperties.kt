package redwingcross.request.idempotency

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** One step of a simulated run. [pick] selects among the gateways, attempts or writes that exist at that moment. */
data class SimulationStep(val kind: StepKind, val pick: Int, val fault: Int)

enum class StepKind { START, ADVANCE, PAUSE, KILL, OUTAGE, RECOVER, DELAYED_WRITE, DELAYED_RUN, CLEAN, EXPIRE }

/**
 * Guards against a key that runs twice, an attempt that is reported as not run although it ran, and the loss of a
 * stored answer. They can come about when gateways are killed, attempts are paused between any two steps, the platform
 * is not available or its answers are delayed or lost, and attempts with the same key replace each other.
 */
class AtMostOnceProperties {
    @Property(tries = 4_000, seed = "20261204")
    fun `a key runs at most once and attempts reported as not run did not run`(
        @ForAll("sequences") steps: List<SimulationStep>,
    ) {
        val names = listOf("k1", "k2").map { RecordName.of(Customer("customer"), IdempotencyKey(it)) }
        val simulation = SimulatedGateways(names)
        steps.forEach { simulation.applyStep(it) }
        simulation.settle()
        assertEquals(emptySet(), simulation.falseRefusals())
    }

    private fun SimulatedGateways.applyStep(step: SimulationStep) {
        when (step.kind) {
            StepKind.START -> start(step.pick)
            StepKind.ADVANCE -> step(step.pick, step.fault)
            StepKind.PAUSE -> advanceTime((step.pick % 8).seconds)
            StepKind.KILL -> kill(step.pick)
            StepKind.OUTAGE -> store.isDown = true
            StepKind.RECOVER -> store.isDown = false
            StepKind.DELAYED_WRITE -> store.applyDelayed(step.pick)
            StepKind.DELAYED_RUN -> runDelayed()
            StepKind.CLEAN -> runCleaner(step.pick, StoreFault.entries.getOrElse(step.fault) { StoreFault.NONE })
            StepKind.EXPIRE -> expire()
        }
    }

    @Provide
    fun sequences(): Arbitrary<List<SimulationStep>> {
        val kinds = Arbitraries.frequency(
            Tuple.of(6, StepKind.START),
            Tuple.of(80, StepKind.ADVANCE),
            Tuple.of(4, StepKind.PAUSE),
            Tuple.of(2, StepKind.KILL),
            Tuple.of(1, StepKind.OUTAGE),
            Tuple.of(4, StepKind.RECOVER),
            Tuple.of(4, StepKind.DELAYED_WRITE),
            Tuple.of(2, StepKind.DELAYED_RUN),
            Tuple.of(4, StepKind.CLEAN),
            Tuple.of(1, StepKind.EXPIRE),
        )
        val step = Combinators.combine(kinds, uniform(240), uniform(20)).`as` { kind, pick, fault ->
            SimulationStep(kind, pick, fault)
        }
        return step.list().ofMinSize(20).ofMaxSize(160)
    }

    /** The default distribution prefers small numbers and would select the same few attempts most of the time. */
    private fun uniform(bound: Int): Arbitrary<Int> =
        Arbitraries.integers().between(0, bound - 1).withDistribution(RandomDistribution.uniform())
}
