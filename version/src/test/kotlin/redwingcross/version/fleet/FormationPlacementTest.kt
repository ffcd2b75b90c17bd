package redwingcross.version.fleet

import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.AvailabilityZone
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against groups distributed so that the loss of one zone leaves a model without any group. */
class FormationPlacementTest {
    /** Three zones with two domains of ten engines each, listed in random order. */
    private fun table(random: Random): EngineTable {
        val statuses = (0 until 60).shuffled(random).map { index ->
            val domain = index / 10
            engineStatus("e$index", "d$domain").copy(zone = AvailabilityZone("z${domain / 2}"))
        }
        val listed = statuses.fold(EngineTable()) { table, status -> table.withListed(status, Duration.ZERO) }
        return statuses.fold(listed) { table, status ->
            table.withReport(
                status.id,
                EngineReport(status.start, OrderCount(0), emptyList(), null),
                Duration.ZERO,
            )
        }
    }

    /** Applies reports in which the members of each group have joined it and the head serves. */
    private fun joined(table: EngineTable, groups: Collection<FormedGroup>, now: Duration): EngineTable =
        groups.fold(table) { before, group ->
            group.members.withIndex().fold(before) { engines, (rank, id) ->
                val phase = if (rank == 0) MemberPhase.OPEN else MemberPhase.READY
                val membership = GroupMembership(group.id, group.epoch, rank, phase)
                val status = engines.engines.getValue(id).status
                val report =
                    EngineReport(status.start, OrderCount(2), listOf(group.model), membership)
                engines.withReport(id, report, now)
            }
        }

    private fun formed(start: EngineTable): Collection<FormedGroup> {
        var table = start
        var state = FormationState(LeaseEpoch(1))
        var now = Duration.ZERO
        while (now < 19.seconds) {
            val view = FormationView(table, serviceTerms, pool, trafficStarted = false)
            state = FormationDecision.step(state, view, now).state.copy(calls = persistentHashMapOf())
            table = joined(table, state.groups.values, now)
            now += 250.milliseconds
        }
        return state.groups.values
    }

    @Test
    fun `the loss of one zone leaves groups of every model`() {
        for (seed in 1..20) {
            val table = table(Random(seed))
            val groups = formed(table)
            val zones = groups.groupBy { table.engines.getValue(it.members.first()).status.zone }
            for (model in pool.models) {
                val perZone = zones.mapValues { (_, inZone) -> inZone.count { it.model == model.name } }
                assertTrue(
                    perZone.size == 3 && perZone.values.all { it > 0 },
                    "seed $seed, ${model.name}: $perZone of ${groups.size} groups",
                )
            }
        }
    }
}
