package redwingcross.version.fleet

import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses which idle engines form groups and which weights are staged on the rest. The engines of a domain serve one
 * model as far as possible: then each of them can replace any other, and few are left over when some are lost.
 */
internal class FormationPlanner(private val work: FormationWork) {
    private val view = work.view
    private val models = view.pool.models
    private val wanted = wantedGroups()

    fun plan() {
        var step = formNext()
        while (step == FormStep.FORMED) step = formNext()
        // Spares must not take the weight store from a group that waits for it.
        if (step == FormStep.NOTHING) stageSpares()
    }

    private fun formNext(): FormStep {
        val byNeed = models.map { it to filled(it) }.sortedBy { (_, filled) -> filled }
        for ((model, filled) in byNeed) {
            val step = formIn(model, reserve = if (filled < 1.0) 0 else reserveOf(model))
            if (step != FormStep.NOTHING) return step
        }
        return FormStep.NOTHING
    }

    private fun filled(model: ModelTerms): Double =
        work.state.liveGroups(model.name).toDouble() / wanted.getValue(model).coerceAtLeast(1)

    /** Idle engines that stay in a domain when more groups than wanted are formed; halves of pairs find together. */
    private fun reserveOf(model: ModelTerms): Int = (model.groupSize - 1) / ENGINES_PER_SPARE

    /** Groups of each model that the engines at hand bear, with some engines left as spares. */
    private fun wantedGroups(): Map<ModelTerms, Int> {
        val usable = view.table.engines.values.count {
            it.status.service == view.service.name && view.table.takesWork(it) && it.id !in work.state.lost
        }
        val grouped = usable * (1 - view.settings.spareShare)
        val shares = models.sumOf { it.share }.takeIf { it > 0 } ?: return models.associateWith { 0 }
        return models.associateWith { (grouped * it.share / shares / it.groupSize).toInt().coerceAtLeast(1) }
    }

    private fun formIn(model: ModelTerms, reserve: Int): FormStep {
        val isExtra = filled(model) >= 1.0
        val candidates = freeByDomain().mapNotNull { (domain, free) -> membersFor(model, domain, free, reserve) }
            .filterNot { isExtra && it.domain.ofOthers > 0 }
        val best = candidates.minWithOrNull(
            compareBy<Candidate> { if (view.trafficStarted) it.loads else 0 }
                .thenBy { it.domain.ofOthers }
                .thenByDescending { it.domain.ofModel }
                .thenBy { it.zone.ofModel }
                .thenByDescending { it.zone.ofOthers }
                .thenBy { it.loads }
                .thenByDescending { it.free },
        ) ?: return FormStep.NOTHING
        if (best.loads > 0 && !mayStartLoads(best.loads)) return FormStep.WAITS_FOR_LOADS
        work.form(model, best.members)
        return FormStep.FORMED
    }

    private fun membersFor(
        model: ModelTerms,
        domain: FabricDomain?,
        free: List<KnownEngine>,
        reserve: Int,
    ): Candidate? {
        val staged = free.filter { model.name in it.status.staged }
        val unstaged = free.filter { it.status.staged.isEmpty() }
        // During traffic a load takes longer than the engine should be held for, so weights are staged beforehand.
        val usable = if (view.trafficStarted) staged else staged + unstaged
        if (usable.size < model.groupSize + reserve) return null
        val members = usable.take(model.groupSize)
        val zone = members.first().status.zone
        return Candidate(
            members = members,
            loads = members.count { model.name !in it.status.staged },
            domain = holders(model) { it.domain == domain },
            zone = holders(model) { it.zone == zone },
            free = free.size,
        )
    }

    private fun freeByDomain(): Map<FabricDomain?, List<KnownEngine>> =
        view.table.engines.values.filter(work::isFree).groupBy { it.status.domain }

    /** Engines of a place that hold [model] and those that hold another one. */
    private fun holders(model: ModelTerms, isAtPlace: (EngineStatus) -> Boolean): Holders {
        val held = view.table.engines.values
            .filter { it.status.service == view.service.name && isAtPlace(it.status) }
            .mapNotNull(work::modelOf)
        val ofModel = held.count { it == model.name }
        return Holders(ofModel, held.size - ofModel)
    }

    private fun stageSpares() {
        for ((domain, free) in freeByDomain()) {
            val unstaged = free.filter { engine -> models.none { it.name in engine.status.staged } }
            for (engine in unstaged) {
                if (!mayStartLoads(1)) return
                val model = modelToStage(domain) ?: return
                work.stage(engine, model)
            }
        }
    }

    /** The model that most engines of the domain serve; in a domain without one, the model with too few groups. */
    private fun modelToStage(domain: FabricDomain?): ModelTerms? = models.minWithOrNull(
        compareByDescending<ModelTerms> { model -> holders(model) { it.domain == domain }.ofModel }
            .thenBy { filled(it) }
            .thenByDescending { it.groupSize },
    )

    /** Whether the weight store's rate leaves room for [count] loads. */
    private fun mayStartLoads(count: Int): Boolean {
        val inLastSecond = work.state.loadStarts.count { work.now - it < LOAD_RATE_PERIOD }
        val slack = if (view.trafficStarted) 0 else LOADS_IN_ADVANCE
        return work.runningLoads + count <= maxOf(view.pool.concurrentLoads + slack, count) &&
            inLastSecond + count <= maxOf(view.pool.loadsPerSecond.toInt(), count)
    }

    private enum class FormStep { FORMED, WAITS_FOR_LOADS, NOTHING }

    private data class Holders(val ofModel: Int, val ofOthers: Int)

    private data class Candidate(
        val members: List<KnownEngine>,
        val loads: Int,
        /** Holders in the engines' domain, which serves one model as far as possible. */
        val domain: Holders,
        /** Holders in their zone; every zone is to have groups of every model, so that its loss costs each a part. */
        val zone: Holders,
        val free: Int,
    )

    private companion object {
        /** Members of a group for which one idle engine of its domain is kept. */
        const val ENGINES_PER_SPARE = 3

        /** Loads started beyond those that run at full speed, so that the weight store never idles. */
        const val LOADS_IN_ADVANCE = 3
        val LOAD_RATE_PERIOD = 1.seconds
    }
}
