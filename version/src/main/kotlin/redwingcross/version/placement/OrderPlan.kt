package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.bundle.VmEntry
import kotlin.time.Duration

/** Selects orders for the VMs whose reports differ from the placement, within the limit of concurrent loads. */
internal class OrderPlan(
    private val state: PlacementState,
    private val placement: Placement,
    private val hold: LeaseHold,
    private val now: Duration,
) {
    private val entries = state.entries
    private val settings = state.settings

    /** VMs of one group that are useful only when all of them are ready. */
    private class OrderUnit(val targets: List<Target>)

    /** A VM with the assignment that the placement gives it. */
    private inner class Target(val entry: VmEntry, val assignment: Assignment, val members: List<Vm>) {
        val view = state.views[entry.vm]
        val report = view?.report
        val isCarriedOut = report?.assignment == assignment
        val isOrdered =
            state.orders[entry.vm]?.let { it.assignment == assignment && now < it.sentAt + settings.orderRetry } == true
        val holdsWeights = report?.ready == true && report.assignment?.shard == assignment.shard

        /** Whether the engine is loading, or was recently ordered to load, the weights of the assignment. */
        val isLoading = !holdsWeights && (isCarriedOut || isOrdered)
        val needsOrder = !isCarriedOut && !isOrdered && isReachable()

        private fun isReachable(): Boolean = view != null &&
            view.misses == 0 &&
            view.isCurrent(now, settings.members) &&
            (entry.checksFencing || now >= hold.unfencedOrdersFrom)
    }

    /** The orders to send now; empty if the zone is taken out of service. */
    fun orders(): List<MemberOrder> {
        if (placement.zone in state.control.overrides.zonesOut) return emptyList()
        val units = placement.groups.flatMap { listOf(memberUnit(it), spareUnit(it)) }
        val loading = units.flatMap { it.targets }.filter { it.isLoading }.map { it.entry.vm } + reportedLoading()
        val busy = loading.toMutableSet()
        return units.sortedBy(::loadsNeeded).flatMap { it.targets }.filter { it.needsOrder }.filter {
            val admitted = it.holdsWeights || it.entry.vm in busy || busy.size < settings.maxConcurrentLoads
            if (admitted && !it.holdsWeights) busy += it.entry.vm
            admitted
        }.map(::order)
    }

    /** VMs that report a load in progress, including loads no longer needed: these use the weight store as well. */
    private fun reportedLoading(): List<Vm> = state.views.entries
        .filter { (_, view) ->
            view.report?.let { it.assignment != null && !it.ready } == true &&
                !view.isMissingFor(settings.members.lostAfter, now, settings.members)
        }.map { it.key }

    /** Number of loads that a unit needs; the unit with the fewest goes first, because it is ready soonest. */
    private fun loadsNeeded(unit: OrderUnit): Int = unit.targets.count { !it.holdsWeights }

    private fun memberUnit(group: ServingGroup) =
        OrderUnit(group.assignments().mapNotNull { (vm, assignment) -> target(vm, assignment, group.members) })

    private fun spareUnit(group: ServingGroup) =
        OrderUnit(group.preparations().mapNotNull { (vm, assignment) -> target(vm, assignment, emptyList()) })

    private fun target(vm: Vm, assignment: Assignment, members: List<Vm>): Target? =
        entries[vm]?.let { Target(it, assignment, members) }

    private fun order(target: Target) = MemberOrder(
        vm = target.entry.vm,
        endpoint = target.entry.engine,
        epoch = hold.epoch,
        assignment = target.assignment,
        members = target.members.mapNotNull { vm -> entries[vm]?.let { vm to it.engine } },
    )
}
