package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
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
            .filterNot { isExtra && it.foreign > 0 }
        val best = candidates.minWithOrNull(
            compareBy<Candidate> { if (view.trafficStarted) it.loads else 0 }
                .thenBy { it.foreign }
                .thenByDescending { it.related }
                .thenBy { it.relatedInZone }
                .thenByDescending { it.foreignInZone }
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
        val others = inDomain(domain)
        val inZone = inZone(members.first().status.zone)
        return Candidate(
            members = members,
            loads = members.count { model.name !in it.status.staged },
            related = others.count { work.modelOf(it) == model.name },
            foreign = others.count { engine -> work.modelOf(engine)?.let { it != model.name } == true },
            relatedInZone = inZone.count { work.modelOf(it) == model.name },
            foreignInZone = inZone.count { engine -> work.modelOf(engine)?.let { it != model.name } == true },
            free = free.size,
        )
    }

    private fun freeByDomain(): Map<FabricDomain?, List<KnownEngine>> =
        view.table.engines.values.filter(work::isFree).groupBy { it.status.domain }

    private fun inDomain(domain: FabricDomain?): List<KnownEngine> =
        view.table.engines.values.filter { it.status.service == view.service.name && it.status.domain == domain }

    private fun inZone(zone: AvailabilityZone): List<KnownEngine> =
        view.table.engines.values.filter { it.status.service == view.service.name && it.status.zone == zone }

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
    private fun modelToStage(domain: FabricDomain?): ModelTerms? {
        val others = inDomain(domain)
        return models.minWithOrNull(
            compareByDescending<ModelTerms> { model -> others.count { work.modelOf(it) == model.name } }
                .thenBy { filled(it) }
                .thenByDescending { it.groupSize },
        )
    }

    /** Whether the weight store's rate leaves room for [count] loads. */
    private fun mayStartLoads(count: Int): Boolean {
        val inLastSecond = work.state.loadStarts.count { work.now - it < LOAD_RATE_PERIOD }
        val slack = if (view.trafficStarted) 0 else LOADS_IN_ADVANCE
        return work.runningLoads + count <= maxOf(view.pool.concurrentLoads + slack, count) &&
            inLastSecond + count <= maxOf(view.pool.loadsPerSecond.toInt(), count)
    }

    private enum class FormStep { FORMED, WAITS_FOR_LOADS, NOTHING }

    private data class Candidate(
        val members: List<KnownEngine>,
        val loads: Int,
        /** Engines of the domain that hold the model. */
        val related: Int,
        /** Engines of the domain that hold another model. */
        val foreign: Int,
        /** Engines of the zone that hold the model; a zone without any is preferred, so that its loss costs less. */
        val relatedInZone: Int,
        /** Engines of the zone that hold another model; such zones come first, so that each has every model. */
        val foreignInZone: Int,
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
