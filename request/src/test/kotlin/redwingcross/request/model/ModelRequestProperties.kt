package redwingcross.request.model

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import net.jqwik.api.Tuple.Tuple2
import net.jqwik.api.constraints.LongRange
import net.jqwik.api.statistics.Statistics
import java.util.function.Predicate
import kotlin.test.assertNotNull

/**
 * Guards against wrong, missing or repeated tokens, an answer reported as complete too early, a request reported as not
 * run after it was sent, and slots that are released twice or never. They can come about when attempts are late, broken
 * off, duplicated or silent, or when a connection delivers the answer of another request.
 */
class ModelRequestProperties {
    @Property(seed = "20261204", tries = 20_000)
    fun `output is a prefix of the answer and reported as complete only if nothing is missing`(
        @ForAll("steps") steps: List<Tuple2<RunStep, Int>>,
        @ForAll @LongRange(min = 0, max = 6) answerLength: Long,
    ) {
        val harness = ModelRequestHarness(answerLength)
        steps.forEach { harness.applyStep(it.get1(), it.get2()) }
        harness.runToEnd()
        val result = assertNotNull(harness.result, "the request has not finished after its deadline")
        // Fails if the generated runs don't cover the results that this property is about.
        val end = "${result.javaClass.simpleName} after ${harness.attemptCount}"
        Statistics.label("end").collect(end).coverage { coverage ->
            listOf("Complete after 1", "Complete after 2", "Incomplete after 3", "Refused after 0", "Refused after 1")
                .forEach { coverage.check(it).count(Predicate { count -> count > 20 }) }
        }
    }

    @Provide
    fun steps(): Arbitrary<List<Tuple2<RunStep, Int>>> {
        val common = setOf(RunStep.GRANT, RunStep.NEXT_TOKENS, RunStep.END, RunStep.TOKEN)
        val step = Arbitraries.frequency(
            *RunStep.entries.map { Tuple.of(if (it in common) 8 else 1, it) }.toTypedArray(),
        )
        return Combinators.combine(step, Arbitraries.integers().between(0, 11))
            .`as` { kind, pick -> Tuple.of(kind, pick) }
            .list().ofMinSize(1).ofMaxSize(40)
    }
}
