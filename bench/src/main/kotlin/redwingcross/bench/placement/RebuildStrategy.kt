package redwingcross.bench.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.Vm
import redwingcross.version.placement.Generation
import redwingcross.version.placement.ServingGroup
import redwingcross.version.placement.assignments
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The baseline: groups are formed in the first domain with enough free VMs and rebuilt as a whole on any loss. */
internal class RebuildStrategy(private val zone: AvailabilityZone, private val layout: Layout) {
    private var groups = emptyList<ServingGroup>()
    private var formed = 0
    private val silentSince = HashMap<Vm, Duration>()
    private val lostAfter = 3.seconds

    val strategy: ZoneStrategy = { vms, now ->
        vms.forEach { note(it, now) }
        val byName = vms.associateBy { it.entry.vm }
        groups = groups.filterNot { group -> group.members.any { isLost(byName.getValue(it), now) } }
        while (groups.size < layout.groupsPerZone) groups = groups + (form(vms, now) ?: break)
        order(byName, now)
        groups
    }

    private fun note(vm: BenchVm, now: Duration) {
        if (vm.isUp(now)) silentSince.remove(vm.entry.vm) else silentSince.putIfAbsent(vm.entry.vm, now)
    }

    /** Lost is a VM that was silent for too long, or one that started anew. */
    private fun isLost(vm: BenchVm, now: Duration): Boolean =
        silentSince[vm.entry.vm]?.let { now - it >= lostAfter } == true

    private fun form(vms: List<BenchVm>, now: Duration): ServingGroup? {
        val taken = groups.flatMap { it.members }.toSet()
        val free = vms.filter { it.isUp(now) && !it.isLeaving && it.entry.vm !in taken }
        val (domain, found) =
            free.groupBy { it.entry.fabricDomain }.entries.firstOrNull { it.value.size >= VMS_PER_GROUP } ?: return null
        formed += 1
        val members = found.take(VMS_PER_GROUP).map { it.entry.vm }
        val model = layout.model
        return ServingGroup(GroupId("$zone.$formed"), Generation(1), model.model, model.modelVersion, domain, members)
    }

    /** Each member of a new group loads its weights, within the number of loads allowed at once. */
    private fun order(vms: Map<Vm, BenchVm>, now: Duration) {
        var free = MAX_CONCURRENT_LOADS - vms.values.count { it.isLoading(now) }
        groups.flatMap { it.assignments().entries }.forEach { (name, assignment) ->
            val vm = vms.getValue(name)
            if (free > 0 && vm.isUp(now) && vm.report(now).assignment != assignment) {
                vm.order(assignment, now, keepWeights = false)
                free -= 1
            }
        }
    }
}
