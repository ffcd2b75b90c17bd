package redwingcross.bench.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.Vm
import redwingcross.version.placement.Generation
import redwingcross.version.placement.ServingGroup
import redwingcross.version.placement.assignments
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The baseline: forms groups in the first domain with enough free VMs and rebuilds a whole group if a VM is lost. */
internal class RebuildStrategy(private val zone: AvailabilityZone, private val layout: Layout) {
    private var groups = emptyList<ServingGroup>()
    private var formed = 0
    private val unreachableSince = HashMap<Vm, Duration>()
    private val lossTimeout = 3.seconds

    val strategy: ZoneStrategy = { vms, now ->
        vms.forEach { updateReachability(it, now) }
        val byName = vms.associateBy { it.entry.vm }
        groups = groups.filterNot { group -> group.members.any { isLost(byName.getValue(it), now) } }
        while (groups.size < layout.groupsPerZone) groups = groups + (formGroup(vms, now) ?: break)
        order(byName, now)
        groups
    }

    private fun updateReachability(vm: BenchVm, now: Duration) {
        if (vm.isUp(now)) unreachableSince.remove(vm.entry.vm) else unreachableSince.putIfAbsent(vm.entry.vm, now)
    }

    /** Whether [vm] has been unreachable for at least [lossTimeout]. */
    private fun isLost(vm: BenchVm, now: Duration): Boolean =
        unreachableSince[vm.entry.vm]?.let { now - it >= lossTimeout } == true

    private fun formGroup(vms: List<BenchVm>, now: Duration): ServingGroup? {
        val taken = groups.flatMap { it.members }.toSet()
        val free = vms.filter { it.isUp(now) && !it.isStopAnnounced && it.entry.vm !in taken }
        val (domain, found) =
            free.groupBy { it.entry.fabricDomain }.entries.firstOrNull { it.value.size >= VMS_PER_GROUP }
                ?: return null
        formed += 1
        val members = found.take(VMS_PER_GROUP).map { it.entry.vm }
        val model = layout.model
        return ServingGroup(
            GroupId("$zone.$formed"),
            Generation(1),
            model.model,
            model.modelVersion,
            domain,
            members,
        )
    }

    /** Orders the members of new groups to load their weights, within [MAX_CONCURRENT_LOADS]. */
    private fun order(vms: Map<Vm, BenchVm>, now: Duration) {
        var availableLoads = MAX_CONCURRENT_LOADS - vms.values.count { it.isLoading(now) }
        groups.flatMap { it.assignments().entries }.forEach { (name, assignment) ->
            val vm = vms.getValue(name)
            if (availableLoads > 0 && vm.isUp(now) && vm.report(now).assignment != assignment) {
                vm.order(assignment, now, keepWeights = false)
                availableLoads -= 1
            }
        }
    }
}
