package redwingcross.version.fleet

import redwingcross.version.bundle.FabricDomain

/**
 * Frees the engines of groups that this process does not manage. A group that another controller formed is left alone
 * while the rest of its members may only be silent, because it can still be adopted with the requests that run in it.
 */
internal class UnmanagedGroups(private val step: FormationStep) {
    private val view = step.view
    private val state get() = step.state
    private val specs = view.pool.models.associateBy { it.name }

    /** Orders engines to leave groups that this process does not manage, so that they can join others. */
    fun releaseEngines() {
        val present = view.table.engines.values.filter {
            it.status.service == view.service.name && !it.status.draining && !step.isUnavailable(it.id)
        }
        val unmanaged = present.filter { it.status.membership?.group?.let { id -> id !in state.groups } == true }
        if (unmanaged.isEmpty()) return
        val awaited = view.table.reportedGroups(view.service.name)
            .filter { it.id !in state.groups && isAwaited(it) }
            .mapTo(HashSet()) { it.id }
        for (engine in unmanaged) {
            val membership = engine.status.membership?.takeIf { it.group !in awaited } ?: continue
            step.send(engine.id, FormationOrder.Leave(membership.group, membership.epoch))
        }
    }

    /** Whether members of [group] may be missing only because they have not yet responded to this controller. */
    private fun isAwaited(group: ReportedGroup): Boolean {
        val model = GroupNames.model(group.id)?.let(specs::get) ?: return false
        val domain = group.members.first().status.domain
        val isIncomplete = group.members.size < model.groupSize
        val candidates = if (isIncomplete) possibleMembers(domain) - group.members.toSet() else emptyList()
        if (candidates.isEmpty()) return false
        (candidates + group.members.filter { it.orders == null }).forEach { step.requireReport(it.id) }
        return true
    }

    /** Engines of [domain] without a managed group whose present membership no report has shown. */
    private fun possibleMembers(domain: FabricDomain?): List<TrackedEngine> = view.table.engines.values.filter {
        it.status.service == view.service.name &&
            it.status.domain == domain &&
            (it.orders == null || it.conflictsWithListing) &&
            it.status.membership?.group !in state.groups.keys &&
            !step.isUnavailable(it.id)
    }
}
