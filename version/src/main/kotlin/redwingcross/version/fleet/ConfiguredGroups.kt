package redwingcross.version.fleet

/** The numbers of groups that follow from the configured shares. */
internal object ConfiguredGroups {
    /** Number of groups of each model for the usable engines, less the fraction kept as spares; at least 1. */
    fun of(
        service: ServiceSpec,
        pool: ModelPool,
        table: EngineTable,
        formation: FormationState,
        settings: FormationSettings,
    ): Map<ModelSpec, Int> = of(
        pool,
        table.engines.values.count {
            it.status.service == service.name && table.acceptsWork(it) && it.id !in formation.lost
        },
        settings,
    )

    /** The same for [usable] engines. */
    fun of(pool: ModelPool, usable: Int, settings: FormationSettings): Map<ModelSpec, Int> {
        val grouped = usable * (1 - settings.spareFraction)
        val shares = pool.models.sumOf { it.share }.takeIf { it > 0 } ?: return pool.models.associateWith { 0 }
        return pool.models.associateWith { (grouped * it.share / shares / it.groupSize).toInt().coerceAtLeast(1) }
    }
}
