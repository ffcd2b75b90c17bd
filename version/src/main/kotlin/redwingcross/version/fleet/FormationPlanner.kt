package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses which idle engines form groups and which weights are staged on the rest. The engines of a fabric domain serve
 * one model as far as possible, so that each can replace any other and few remain unused when some are lost.
 */
internal class FormationPlanner(private val step: FormationStep) {
    private val view = step.view
    private val models = view.pool.models
    private val engines = view.table.engines.values.filter { it.status.service == view.service.name }
    private val targetCounts = targetGroupCounts()
    private val free = freeByDomain()

    /**
     * Whether groups beyond the target may form in domains of another model: during traffic only engines with the
     * weights are used, and these can replace no engine of the other model. They remain after a move that was given up.
     */
    private val mixesDomains = view.demand != null && view.trafficStarted
    private val servedModels by lazy(LazyThreadSafetyMode.NONE) { step.servedModels() }
    private val domainHolders = HashMap<FabricDomain?, HolderCount>()
    private val zoneHolders = HashMap<AvailabilityZone, HolderCount>()

    /** Forms groups until none is possible; then stages weights on the remaining engines. */
    fun plan() {
        if (free.isNotEmpty()) formAndStage()
        // A group move waits for replacements of lost engines, which load weights first.
        view.demand?.stage?.forEach { (id, model) -> stageForMove(id, model) }
    }

    private fun formAndStage() {
        engines.forEach { engine -> step.modelOf(engine)?.let { countHolder(engine, it) } }
        var outcome = formNextGroup()
        while (outcome == FormOutcome.FORMED) outcome = formNextGroup()
        // Staging on spares must not use weight store capacity that a group waits for.
        if (outcome == FormOutcome.NOTHING) stageSpares()
    }

    private fun stageForMove(id: BackendServer, model: ModelName) {
        val engine = view.table.engines[id]?.takeIf { id !in step.state.loads } ?: return
        val spec = models.firstOrNull { it.name == model } ?: return
        if (canStartLoads(1)) step.stage(engine, spec)
    }

    private fun countHolder(engine: TrackedEngine, model: ModelName) {
        domainHolders.getOrPut(engine.status.domain, ::HolderCount).add(model)
        zoneHolders.getOrPut(engine.status.zone, ::HolderCount).add(model)
    }

    private fun formNextGroup(): FormOutcome {
        val byFillRatio = models.map { it to fillRatio(it) }.sortedBy { (_, fillRatio) -> fillRatio }
        for ((model, fillRatio) in byFillRatio) {
            val outcome = formGroup(model, reserve = if (fillRatio < 1.0) 0 else reserveOf(model))
            if (outcome != FormOutcome.NOTHING) return outcome
        }
        return FormOutcome.NOTHING
    }

    private fun fillRatio(model: ModelSpec): Double =
        step.state.liveGroups(model.name).toDouble() / targetCounts.getValue(model).coerceAtLeast(1)

    /**
     * Number of idle engines kept in a domain when more groups than the target are formed. None are kept for a model
     * with groups of two, because any two remaining engines can form a pair.
     */
    private fun reserveOf(model: ModelSpec): Int = (model.groupSize - 1) / ENGINES_PER_SPARE

    /** Target number of groups of each model: the one that follows demand, or else the one of the configured share. */
    private fun targetGroupCounts(): Map<ModelSpec, Int> {
        val usable = engines.count { view.table.acceptsWork(it) && it.id !in step.state.lost }
        val configured = ConfiguredGroups.of(view.pool, usable, view.settings)
        return configured.mapValues { (model, count) -> view.demand?.targets?.get(model.name) ?: count }
    }

    private fun formGroup(model: ModelSpec, reserve: Int): FormOutcome {
        val exceedsTarget = fillRatio(model) >= 1.0
        val candidates = free.mapNotNull { (domain, idle) -> membersFor(model, domain, idle, reserve) }
            .filterNot { exceedsTarget && it.domain.ofOthers > 0 && !mixesDomains }
        val best = candidates.minWithOrNull(
            compareBy<Candidate> { if (view.trafficStarted) it.loads else 0 }
                .thenBy { it.domain.ofOthers }
                .thenByDescending { it.domain.ofModel }
                .thenBy { it.zone.ofModel }
                .thenByDescending { it.zone.ofOthers }
                .thenBy { it.loads }
                .thenByDescending { it.free },
        ) ?: return FormOutcome.NOTHING
        if (best.loads > 0 && !canStartLoads(best.loads)) return FormOutcome.WAITS_FOR_LOADS
        val withoutModel = best.members.filter { step.modelOf(it) == null }
        step.form(model, best.members)
        withoutModel.forEach { countHolder(it, model.name) }
        free.getValue(best.members.first().status.domain).removeAll(best.members.toSet())
        return FormOutcome.FORMED
    }

    private fun membersFor(
        model: ModelSpec,
        domain: FabricDomain?,
        free: List<TrackedEngine>,
        reserve: Int,
    ): Candidate? {
        val staged = free.filter { model.name in it.status.staged }
        val unstaged = free.filter { it.status.staged.isEmpty() }
        // During traffic a load would occupy the engine for too long, so only engines with staged weights are used.
        val usable = if (view.trafficStarted) staged else staged + unstaged
        val kept = if (mixesDomains && (domain to model.name) !in servedModels) 0 else reserve
        if (usable.size < model.groupSize + kept) return null
        val members = usable.take(model.groupSize)
        val zone = members.first().status.zone
        return Candidate(
            members = members,
            loads = members.count { model.name !in it.status.staged },
            domain = domainHolders[domain].holders(model.name),
            zone = zoneHolders[zone].holders(model.name),
            free = free.size,
        )
    }

    private fun freeByDomain(): Map<FabricDomain?, MutableList<TrackedEngine>> =
        engines.filter(step::isFree).groupByTo(LinkedHashMap()) { it.status.domain }

    private fun HolderCount?.holders(model: ModelName): Holders {
        val ofModel = this?.of(model) ?: 0
        return Holders(ofModel, (this?.total ?: 0) - ofModel)
    }

    private fun stageSpares() {
        if (view.demand != null) return stageMostUseful()
        for ((domain, idle) in free) {
            val unstaged = idle.filter { engine -> models.none { it.name in engine.status.staged } }
            for (engine in unstaged) {
                if (!canStartLoads(1)) return
                val model = modelToStage(domain) ?: return
                step.stage(engine, model)
                countHolder(engine, model.name)
            }
        }
    }

    private fun stageMostUseful() {
        for ((engine, model) in StagingOrder(step, free, ::modelToStage).choices()) {
            if (!canStartLoads(1)) return
            step.stage(engine, model)
            countHolder(engine, model.name)
        }
    }

    /** The model that most engines of the domain hold; if they hold none, the model that lacks most groups. */
    private fun modelToStage(domain: FabricDomain?): ModelSpec? = models.minWithOrNull(
        compareByDescending<ModelSpec> { model -> domainHolders[domain].holders(model.name).ofModel }
            .thenBy { fillRatio(it) }
            .thenByDescending { it.groupSize },
    )

    /** Whether [count] more loads may start without exceeding the weight store's concurrency and rate limits. */
    private fun canStartLoads(count: Int): Boolean {
        val inLastSecond = step.state.loadStarts.count { step.now - it < LOAD_RATE_PERIOD }
        val slack = if (view.trafficStarted) 0 else LOADS_IN_ADVANCE
        return step.runningLoads + count <= maxOf(view.pool.concurrentLoads + slack, count) &&
            inLastSecond + count <= maxOf(view.pool.loadsPerSecond.toInt(), count)
    }

    private enum class FormOutcome { FORMED, WAITS_FOR_LOADS, NOTHING }

    private data class Holders(val ofModel: Int, val ofOthers: Int)

    /** Counts the engines of a domain or zone by the model that they hold. */
    private class HolderCount {
        private val byModel = HashMap<ModelName, Int>()
        var total = 0
            private set

        fun add(model: ModelName) {
            byModel.merge(model, 1, Int::plus)
            total++
        }

        fun of(model: ModelName): Int = byModel[model] ?: 0
    }

    private data class Candidate(
        val members: List<TrackedEngine>,
        val loads: Int,
        /** Counts in the engines' domain, which serves one model as far as possible. */
        val domain: Holders,
        /** Counts in their zone. Each zone should have groups of each model, so that no model depends on one zone. */
        val zone: Holders,
        val free: Int,
    )

    private companion object {
        /** Number of group members beyond the first for which one idle engine of the domain is kept as a spare. */
        const val ENGINES_PER_SPARE = 3

        /** Loads started beyond those that run at full speed, so that the weight store is never idle. */
        const val LOADS_IN_ADVANCE = 3

        /** Period over which the rate of load starts is limited. */
        val LOAD_RATE_PERIOD = 1.seconds
    }
}
