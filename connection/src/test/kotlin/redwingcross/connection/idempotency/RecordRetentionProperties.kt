package redwingcross.connection.idempotency

import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.InMemoryPlatform
import redwingcross.connection.platform.ObjectKey
import redwingcross.request.MonotonicClock
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against records that are removed before 24 h have passed, which would let a call with the same key run again,
 * and against records that are never removed. Three controllers with different clocks restart, pause and lose answers.
 */
class RecordRetentionProperties {
    enum class StepKind { RESTART, BOOK, LOSE_ANSWER, OUTAGE, RECOVER, SWEEP }

    data class Step(val kind: StepKind, val controller: Int, val minutes: Int)

    private class Simulation {
        val platform = InMemoryPlatform(latency = Duration.ZERO)
        private val store = platform.store("controller")
        private var now = Duration.ZERO
        private val writtenAt = mutableMapOf<ObjectKey, Duration>()
        private val controllers = MutableList(3) { controller(it) }

        /** Each controller's clock has another origin, as the monotonic clocks of different VMs have. */
        private fun controller(index: Int) = RecordRetention(store, MonotonicClock { now + index.hours * 1_000 })

        suspend fun execute(step: Step) {
            now += step.minutes.minutes
            when (step.kind) {
                StepKind.RESTART -> controllers[step.controller] = controller(step.controller)
                StepKind.BOOK -> book()
                StepKind.LOSE_ANSWER -> platform.loseAnswers = 1
                StepKind.OUTAGE -> platform.isDown = true
                StepKind.RECOVER -> platform.isDown = false
                StepKind.SWEEP -> sweep(step.controller, writeBudget = 3)
            }
        }

        suspend fun sweep(controller: Int, writeBudget: Int) {
            val before = platform.objects().map { it.key }.toSet()
            val result = controllers[controller].removeExpired(writeBudget)
            val removed = before - platform.objects().map { it.key }.toSet()
            removed.forEach { assertTrue(now - writtenAt.getValue(it) >= 24.hours, "$it removed too early") }
            assertTrue(removed.size <= writeBudget, "$result exceeds the write budget")
        }

        private suspend fun book() {
            val key = ObjectKey(idempotencyRecordKind, "customer.${writtenAt.size}")
            if (platform.isDown) return
            writtenAt[key] = now
            store.write(ConditionalWrite.Put(key, null, JsonPrimitive("record")))
        }

        /** With one controller running continuously and no faults, every record must be removed. */
        suspend fun removeAllRecords() {
            platform.isDown = false
            platform.loseAnswers = 0
            repeat(160) {
                now += 10.minutes
                sweep(0, writeBudget = 20)
            }
            assertEquals(listOf(RecordRetention.agesKey), platform.objects().map { it.key })
        }
    }

    @Property(tries = 120, seed = "20261204")
    fun `every record is removed after the retention time and none before it`(@ForAll("sessions") steps: List<Step>) =
        runTest {
            val simulation = Simulation()
            steps.forEach { simulation.execute(it) }
            simulation.removeAllRecords()
        }

    @Provide
    fun sessions(): Arbitrary<List<Step>> {
        val kinds = Arbitraries.frequency(
            Tuple.of(1, StepKind.RESTART),
            Tuple.of(4, StepKind.BOOK),
            Tuple.of(1, StepKind.LOSE_ANSWER),
            Tuple.of(1, StepKind.OUTAGE),
            Tuple.of(2, StepKind.RECOVER),
            Tuple.of(12, StepKind.SWEEP),
        )
        val step = Combinators.combine(kinds, Arbitraries.of(0, 1, 2), Arbitraries.of(0, 1, 11, 20, 60, 200))
            .`as` { kind, controller, minutes -> Step(kind, controller, minutes) }
        return step.list().ofMinSize(60).ofMaxSize(160)
    }
}
