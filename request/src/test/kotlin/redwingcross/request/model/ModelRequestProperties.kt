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
 * Guards against callers that get anything but the complete answer to their own request when attempts are late,
 * crossed, cut off, duplicated or silent: wrong or missing tokens, an early end, a false "not run", a slot that is
 * given back twice or never.
 */
class ModelRequestProperties {
    @Property(seed = "20261204", tries = 20_000)
    fun `output is always a prefix of the answer and complete only as a whole`(
        @ForAll("happenings") happenings: List<Tuple2<Happening, Int>>,
        @ForAll @LongRange(min = 0, max = 6) answerLength: Long,
    ) {
        val harness = ModelRequestHarness(answerLength)
        happenings.forEach { harness.happen(it.get1(), it.get2()) }
        harness.end()
        val result = assertNotNull(harness.result, "not finished after the deadline")
        // Shows that the runs reach the ends that the property is about.
        val end = "${result.javaClass.simpleName} after ${harness.attemptCount}"
        Statistics.label("end").collect(end).coverage { coverage ->
            listOf("Complete after 1", "Complete after 2", "Incomplete after 3", "Refused after 0", "Refused after 1")
                .forEach { coverage.check(it).count(Predicate { count -> count > 20 }) }
        }
    }

    @Provide
    fun happenings(): Arbitrary<List<Tuple2<Happening, Int>>> {
        val common = setOf(Happening.GRANT, Happening.NEXT_TOKENS, Happening.END, Happening.TOKEN)
        val happening = Arbitraries.frequency(
            *Happening.entries.map { Tuple.of(if (it in common) 8 else 1, it) }.toTypedArray(),
        )
        return Combinators.combine(happening, Arbitraries.integers().between(0, 11))
            .`as` { kind, pick -> Tuple.of(kind, pick) }
            .list().ofMinSize(1).ofMaxSize(40)
    }
}
