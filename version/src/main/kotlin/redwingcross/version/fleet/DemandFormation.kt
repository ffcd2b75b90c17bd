package redwingcross.version.fleet

import redwingcross.request.ModelName
import redwingcross.request.Transition
import kotlin.math.ceil
import kotlin.time.Duration

/**
 * Decides how many groups each model has when demand and the configured shares differ. It handles a swell that lasts
 * longer than a change of engines from one model to another (about half a minute with weights to load), while another
 * model has idle groups. Load that oscillates within 15 s and surges of a few seconds move no group, because the gain
 * test compares the expected rest of the surge with the time of the change.
 */
object DemandFormation {
    /** Computes the next state, with its plan, at [now]; called about twice a second with [view]. */
    fun step(
        state: DemandFormationState,
        view: FormationDemand,
        now: Duration,
        settings: DemandSettings = DemandSettings(),
    ): Transition<DemandFormationState, DemandEvent> {
        val step = DemandStep(resumed(state, now, settings), view, now, settings)
        DemandMeasurement(step).run()
        if (!step.state.isLost) {
            GroupMoveProgress(step).run()
            if (view.demand != null && now >= step.state.usableFrom) GroupMoveChoice(step).run()
            step.state = step.state.copy(plan = plan(step))
        }
        return Transition(step.state, step.events)
    }

    /**
     * The state before a decision at [now]. After a pause of the process its figures are old: surges that it saw count
     * as not seen, so that a move for which no group was closed yet is given up.
     */
    private fun resumed(state: DemandFormationState, now: Duration, settings: DemandSettings): DemandFormationState {
        val last = state.decidedAt
        if (last != null && now - last <= settings.longestGap) return state.copy(decidedAt = now)
        return state.copy(
            trends = state.trends.mapValues { it.value.copy(surge = null) },
            decidedAt = now,
            knownAt = now,
            usableFrom = now + settings.settling,
            calmSince = now,
        )
    }

    private fun plan(step: DemandStep): DemandPlan {
        val state = step.state
        val move = state.move
        val hasSurge = state.trends.values.any { it.surge != null }
        val surging = if (hasSurge && step.mayReleaseReserve()) surgeTargets(step) else emptyList()
        return DemandPlan(
            targets = state.moved + surging,
            retire = move?.takeIf { it.stage == MoveStage.RETIRING }?.let { it.donors[it.retired] },
            stage = move?.takeIf { it.stage == MoveStage.STAGING }?.let { found ->
                step.withoutWeights(found).associateWith { found.receiver }
            }.orEmpty(),
            kept = move?.engines.orEmpty().toSet(),
        )
    }

    /** Groups that models need during a surge. Idle engines then form groups in any domain, without a reserve. */
    private fun surgeTargets(step: DemandStep): List<Pair<ModelName, Int>> = step.pool.models.mapNotNull { spec ->
        val trend = step.state.trends[spec.name]?.takeIf { it.surge != null } ?: return@mapNotNull null
        val needed = ceil(trend.slots / (step.settings.shortUtilisation * step.pool.slots)).toInt()
        val live = step.view.formation.liveGroups(spec.name)
        spec.name to maxOf(needed, live, step.state.moved[spec.name] ?: 0)
    }
}

/** State and events of one decision of [DemandFormation], and what its parts ask of the fleet. */
internal class DemandStep(
    var state: DemandFormationState,
    val view: FormationDemand,
    val now: Duration,
    val settings: DemandSettings,
) {
    val events = mutableListOf<DemandEvent>()
    val pool = view.pool
    private val groups = view.formation.groups.values
    private val servingCounts = groups.filter { it.isInService }.groupingBy { it.model }.eachCount()

    fun log(event: String, vararg pairs: Pair<String, Any?>) {
        events += DemandEvent(event, pairs.toList())
    }

    /** Number of groups of [model] in service; a member that is silent for a moment does not change the supply. */
    fun serving(model: ModelName): Int = servingCounts[model] ?: 0

    fun openSlots(model: ModelName): Int = serving(model) * pool.slots

    /** Groups that were lost for another reason than a move. */
    fun lostGroups(): List<FormedGroup> = groups.filter { it.stage == GroupStage.LOST && !it.isRetiredForDemand }

    /** Why no group may be closed now; null if one may. */
    fun obstacle(): String? = when {
        view.table.evacuatedZones.isNotEmpty() -> "evacuation"
        state.losses.values.any { now - it < replacementTime() } -> "groups_lost"
        else -> null
    }

    /** Whether groups are being formed or closed. */
    fun isChanging(): Boolean = groups.any { it.stage != GroupStage.SERVING }

    /** Time in which a lost engine is replaced by one that has to load weights. */
    private fun replacementTime(): Duration = pool.models.maxOf { it.load }

    /**
     * Whether idle engines that are kept as replacements may form groups. A spare that serves yields its slots all the
     * time; without it, each loss in its domain costs a group's slots for the time of a load. So it is kept if a group
     * of a domain is lost more often than once in the time of a load.
     */
    fun mayReleaseReserve(): Boolean {
        if (state.losses.isEmpty()) return true
        val domains = view.table.engines.values.mapTo(mutableSetOf()) { it.status.domain }.size.coerceAtLeast(1)
        return state.losses.size * (replacementTime() / settings.lossPeriod) / domains < 1
    }

    /** Number of serving groups that [model] does not need. */
    fun spareGroups(model: ModelName): Int {
        val trend = state.trends[model]?.takeIf { it.surge == null } ?: return 0
        val needed = ceil(trend.slots / (settings.donorUtilisation * pool.slots)).toInt()
        return serving(model) - maxOf(needed, settings.remainingGroups)
    }

    /** Engines of [move] on whose hosts the weights are not staged. */
    fun withoutWeights(move: GroupMove) = move.engines.filter {
        view.table.engines[it]?.status?.staged?.contains(move.receiver) == false
    }
}
