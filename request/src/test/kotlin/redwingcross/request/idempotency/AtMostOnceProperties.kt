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

/** One step of a session; [pick] chooses among whatever exists at that moment. */
data class Step(val kind: StepKind, val pick: Int, val fault: Int)

enum class StepKind { START, ADVANCE, PAUSE, KILL, OUTAGE, RECOVER, DELAYED_WRITE, DELAYED_RUN, CLEAN, EXPIRE }

/**
 * Guards against a second run of a key, a false "not run" and a completed answer that is lost, while attempts at
 * several gateways are killed, paused between any two steps, cut off from the platform, answered late or not at all,
 * and taken over.
 */
class AtMostOnceProperties {
    @Property(tries = 4_000, seed = "20261204")
    fun `a key runs at most once and refusals are true`(@ForAll("sessions") steps: List<Step>) {
        val names = listOf("k1", "k2").map { RecordName.of(Customer("customer"), IdempotencyKey(it)) }
        val world = SimulatedGateways(names)
        steps.forEach { world.take(it) }
        world.settle()
        assertEquals(emptySet(), world.falseRefusals())
    }

    private fun SimulatedGateways.take(step: Step) {
        when (step.kind) {
            StepKind.START -> start(step.pick)
            StepKind.ADVANCE -> step(step.pick, step.fault)
            StepKind.PAUSE -> advanceTime((step.pick % 8).seconds)
            StepKind.KILL -> kill(step.pick)
            StepKind.OUTAGE -> store.isDown = true
            StepKind.RECOVER -> store.isDown = false
            StepKind.DELAYED_WRITE -> store.applyDelayed(step.pick)
            StepKind.DELAYED_RUN -> runLater()
            StepKind.CLEAN -> clean(step.pick, StoreFault.entries.getOrElse(step.fault) { StoreFault.NONE })
            StepKind.EXPIRE -> expire()
        }
    }

    @Provide
    fun sessions(): Arbitrary<List<Step>> {
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
            Step(kind, pick, fault)
        }
        return step.list().ofMinSize(20).ofMaxSize(160)
    }

    /** The default distribution prefers small numbers and would step the same attempt again and again. */
    private fun uniform(bound: Int): Arbitrary<Int> =
        Arbitraries.integers().between(0, bound - 1).withDistribution(RandomDistribution.uniform())
}
