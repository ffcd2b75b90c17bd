package redwingcross.bench.placement

import redwingcross.version.placement.ServingGroup
import redwingcross.version.placement.assignments
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sums over one run. */
internal data class Measured(
    /** Wanted groups that did not serve, times seconds. */
    val groupDowntime: Double,
    /** Accelerators of healthy VMs outside serving groups while the zone lacked a group, times seconds. */
    val strandedAccelerators: Double,
    /** Largest number of VMs of a zone that loaded weights at once. */
    val mostLoads: Int,
)

private val step = 1.seconds
private val loadTime = 90.seconds

/** Runs the same script against one strategy in each zone, in steps of one second of virtual time. */
internal fun measure(layout: Layout, script: List<Fault>, length: Duration, strategies: List<ZoneStrategy>): Measured {
    val vms = layout.entries.map { BenchVm(it, loadTime) }
    val zones = layout.zones.map { zone -> vms.filter { it.entry.zone == zone } }
    val faults = ArrayDeque(script)
    var total = Measured(0.0, 0.0, 0)
    var now = Duration.ZERO
    while (now < length) {
        while (faults.isNotEmpty() && faults.first().at <= now) vms.apply(faults.removeFirst(), now)
        vms.forEach { it.advance(now) }
        zones.zip(strategies).forEach { (zoneVms, strategy) ->
            val groups = strategy(zoneVms, now)
            total = total.plus(zoneVms, groups, layout.groupsPerZone, now)
        }
        now += step
    }
    return total
}

private fun List<BenchVm>.apply(fault: Fault, now: Duration) {
    when (fault) {
        is Fault.Crash -> first { it.entry.vm == fault.vm }.crash(now, fault.length)
        is Fault.Pause -> first { it.entry.vm == fault.vm }.silence(now, fault.length)
        is Fault.PlannedStop -> first { it.entry.vm == fault.vm }.announceStop(now + fault.notice, fault.length)
        is Fault.DarkDomain ->
            filter { it.entry.fabricDomain == fault.domain }.forEach { it.silence(now, fault.length) }
    }
}

private fun Measured.plus(vms: List<BenchVm>, groups: List<ServingGroup>, wanted: Int, now: Duration): Measured {
    val byName = vms.associateBy { it.entry.vm }
    val serving =
        groups.filter { group ->
            group.assignments().all { (vm, assignment) -> byName.getValue(vm).isReadyAs(assignment, now) }
        }
    val lacking = (wanted - serving.size).coerceAtLeast(0)
    val busy = serving.sumOf { it.members.size }
    val healthy = vms.count { it.isUp(now) && !it.isLeaving }
    val stranded = if (lacking > 0) (healthy - busy).coerceAtLeast(0) * ACCELERATORS_PER_VM else 0
    return Measured(
        groupDowntime + lacking,
        strandedAccelerators + stranded,
        maxOf(mostLoads, vms.count { it.isLoading(now) }),
    )
}
