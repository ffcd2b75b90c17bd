package redwingcross.version.fleet

import redwingcross.version.bundle.FabricDomain

/** Chooses which idle engines form groups and which weights are staged on the rest. */
internal class FormationPlanner(private val work: FormationWork) {
    private val view = work.view
    private val models = view.pool.models

    fun plan() {
        var step = formNext()
        while (step == FormStep.FORMED) step = formNext()
        // Spares must not take the weight store from a group that waits for it.
        if (step == FormStep.NOTHING) stageSpares()
    }

    private fun formNext(): FormStep {
        val wanted = wantedGroups()
        val byNeed = models
            .map { it to work.state.liveGroups(it.name).toDouble() / wanted.getValue(it).coerceAtLeast(1) }
            .filter { (_, filled) -> filled < 1.0 }
            .sortedBy { (_, filled) -> filled }
        for ((model, _) in byNeed) {
            val step = formIn(model)
            if (step != FormStep.NOTHING) return step
        }
        return FormStep.NOTHING
    }

    /** Groups of each model that the engines at hand bear, with some engines left as spares. */
    private fun wantedGroups(): Map<ModelTerms, Int> {
        val usable = view.table.engines.values.count {
            it.status.service == view.service.name && view.table.takesWork(it) && it.id !in work.state.lost
        }
        val grouped = usable * (1 - view.settings.spareShare)
        val shares = models.sumOf { it.share }.takeIf { it > 0 } ?: return models.associateWith { 0 }
        return models.associateWith { (grouped * it.share / shares / it.groupSize).toInt().coerceAtLeast(1) }
    }

    private fun formIn(model: ModelTerms): FormStep {
        val candidates = freeByDomain().values.mapNotNull { free -> membersFor(model, free) }
        val best = candidates.minWithOrNull(
            compareBy<Candidate> { it.loads }.thenByDescending { it.freeInDomain },
        ) ?: return FormStep.NOTHING
        if (best.loads > 0 && !work.mayStartLoads(best.loads)) return FormStep.WAITS_FOR_LOADS
        work.form(model, best.members)
        return FormStep.FORMED
    }

    private fun membersFor(model: ModelTerms, free: List<KnownEngine>): Candidate? {
        val staged = free.filter { model.name in it.status.staged }
        if (staged.size >= model.groupSize) return Candidate(staged.take(model.groupSize), 0, free.size)
        // During traffic a load takes longer than the engine should be held for, so weights are staged beforehand.
        if (view.trafficStarted) return null
        val unstaged = free.filter { it.status.staged.isEmpty() }
        val members = (staged + unstaged).take(model.groupSize)
        if (members.size < model.groupSize) return null
        return Candidate(members, members.count { model.name !in it.status.staged }, free.size)
    }

    private fun freeByDomain(): Map<FabricDomain?, List<KnownEngine>> =
        view.table.engines.values.filter(work::isFree).groupBy { it.status.domain }

    private fun stageSpares() {
        for ((_, free) in freeByDomain()) {
            val unstaged = free.filter { engine -> models.none { it.name in engine.status.staged } }
            for (engine in unstaged) {
                if (!work.mayStartLoads(1)) return
                val model = modelToStage(engine.status.domain) ?: return
                work.stage(engine, model)
            }
        }
    }

    /** The model whose next group in the domain lacks the fewest engines, models with too few groups first. */
    private fun modelToStage(domain: FabricDomain?): ModelTerms? {
        val wanted = wantedGroups()
        val idle = view.table.engines.values.filter { it.status.domain == domain && it.status.membership == null }
        return models.minWithOrNull(
            compareBy<ModelTerms> { model ->
                val ready = idle.count { engine ->
                    val staging = work.state.loads[engine.id]?.model
                    staging == model.name || (staging == null && model.name in engine.status.staged)
                }
                ready.toDouble() / model.groupSize
            }.thenBy { model -> work.state.liveGroups(model.name).toDouble() / wanted.getValue(model).coerceAtLeast(1) }
                .thenByDescending { it.groupSize },
        )
    }

    private enum class FormStep { FORMED, WAITS_FOR_LOADS, NOTHING }

    private data class Candidate(val members: List<KnownEngine>, val loads: Int, val freeInDomain: Int)
}
