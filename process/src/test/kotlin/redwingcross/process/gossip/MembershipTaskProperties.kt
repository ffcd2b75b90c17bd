package redwingcross.process.gossip

import kotlinx.coroutines.test.runTest
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.Tuple
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against live processes that remain declared dead, dead ones that remain listed, versions and statuses that
 * revert to older ones, understated ages, a minority that reports a majority, and messages above 1,200 bytes.
 */
class MembershipTaskProperties {
    sealed interface Step {
        data class Lose(val percent: Int, val delayMillis: Int) : Step

        data class Pause(val process: Int, val seconds: Int) : Step

        /** Processes whose number is below [cut] percent are cut off from the others. */
        data class Partition(val cut: Int) : Step

        data object Heal : Step

        data class Kill(val process: Int) : Step

        data class Restart(val process: Int) : Step

        data class Change(val process: Int) : Step
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val process = Arbitraries.integers().between(0, 39)
        val step =
            Arbitraries.oneOf<Step>(
                Combinators
                    .combine(Arbitraries.integers().between(0, 20), Arbitraries.integers().between(1, 150))
                    .`as` { percent, millis -> Step.Lose(percent, millis) },
                Combinators
                    .combine(process, Arbitraries.integers().between(1, 20))
                    .`as` { number, seconds -> Step.Pause(number, seconds) },
                Arbitraries.integers().between(5, 95).map { Step.Partition(it) },
                Arbitraries.just(Step.Heal),
                process.map { Step.Kill(it) },
                process.map { Step.Restart(it) },
                process.map { Step.Change(it) },
            )
        return step.list().ofMinSize(3).ofMaxSize(8)
    }

    @Property(seed = "20261204", tries = 25, shrinking = ShrinkingMode.OFF)
    fun `members, versions and majorities are correct under loss, pauses, partitions and restarts`(
        @ForAll("steps") steps: List<Step>,
        @ForAll("sizes") size: Int,
        @ForAll seed: Long,
    ) = runTest(timeout = 5.minutes) {
        val names = List(size) { ProcessName(if (it % 2 == 0) "gateway-$it" else "controller-$it") }
        val simulation = PeerSimulation(this, seed, names.take(3).map { Endpoint("${it.value}:1") })
        PeerSimulationOracle(simulation, names).run {
            start()
            steps.forEach { take(it) }
            checkConvergence()
        }
        assertTrue(simulation.largestFrameBytes <= 1_200, "frame of ${simulation.largestFrameBytes} bytes is too large")
    }

    /** Large sizes are rare, because a try with 40 processes takes seconds. */
    @Provide
    fun sizes(): Arbitrary<Int> = Arbitraries.frequency(
        Tuple.of(5, 3),
        Tuple.of(5, 5),
        Tuple.of(5, 8),
        Tuple.of(2, 16),
        Tuple.of(1, 40),
    )
}
