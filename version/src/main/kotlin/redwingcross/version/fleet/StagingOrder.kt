package redwingcross.version.fleet

import redwingcross.request.ModelName
import redwingcross.version.bundle.FabricDomain

/** A load of weights onto the host of an idle engine. */
internal data class StagingChoice(val engine: TrackedEngine, val model: ModelSpec)

/**
 * The order in which idle engines load weights. It handles engines that are lost and replaced by empty ones faster than
 * the weight store can load them: the engines that complete a group with the fewest loads come first.
 */
internal class StagingOrder(
    private val step: FormationStep,
    private val free: Map<FabricDomain?, List<TrackedEngine>>,
    /** The model that the engines of a domain serve. */
    private val modelOf: (FabricDomain?) -> ModelSpec?,
) {
    private val specs = step.view.pool.models.associateBy { it.name }
    private val kept = step.view.demand?.kept.orEmpty()
    private val loading = HashMap<Pair<FabricDomain?, ModelName>, Int>()
    private val served = step.servedModels()

    init {
        for ((id, load) in step.state.loads) {
            val engine = step.view.table.engines[id] ?: continue
            if (engine.status.membership == null) loading.merge(engine.status.domain to load.model, 1, Int::plus)
        }
    }

    /** The loads to start, the most useful first. */
    fun choices(): List<StagingChoice> = free.flatMap { (domain, idle) -> ofDomain(domain, idle) }
        .sortedBy { (_, loadsToGroup) -> loadsToGroup }
        .map { (choice, _) -> choice }

    private fun ofDomain(domain: FabricDomain?, idle: List<TrackedEngine>): List<Pair<StagingChoice, Int>> {
        val model = modelOf(domain) ?: return emptyList()
        val ready = idle.count { model.name in it.status.staged } + (loading[domain to model.name] ?: 0)
        val missing = model.groupSize - ready
        val empty = idle.filter { engine -> engine.status.staged.none { it in specs } }
        return (empty + misplaced(domain, idle, model)).mapIndexed { index, engine ->
            StagingChoice(engine, model) to if (index < missing) missing else Int.MAX_VALUE
        }
    }

    /**
     * Engines whose staged weights are of no use: no group of that model is in their domain, and too few engines have
     * them to form one. They remain after a move that was given up or when a domain has changed its model.
     */
    private fun misplaced(domain: FabricDomain?, idle: List<TrackedEngine>, model: ModelSpec): List<TrackedEngine> {
        val movable = idle.filter { it.id !in kept }
        return specs.keys.filter { it != model.name && (domain to it) !in served }.flatMap { other ->
            val holders = movable.filter { other in it.status.staged }
            if (isTooFew(domain, other, holders.size)) holders else emptyList()
        }
    }

    private fun isTooFew(domain: FabricDomain?, name: ModelName, ready: Int) =
        ready + (loading[domain to name] ?: 0) < specs.getValue(name).groupSize
}
