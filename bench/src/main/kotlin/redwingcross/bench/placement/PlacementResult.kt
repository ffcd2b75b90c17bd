package redwingcross.bench.placement

import redwingcross.version.placement.ServingGroup
import redwingcross.version.placement.assignments
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Measurements of one run. */
internal data class PlacementResult(
    /** Group-seconds during which a configured group did not serve. */
    val groupDowntime: Double,
    /** Accelerator-seconds of healthy VMs outside serving groups while a group of the zone did not serve. */
    val strandedAccelerators: Double,
    /** Largest number of VMs of a zone that loaded weights at the same time. */
    val maxConcurrentLoads: Int,
)

private val tickInterval = 1.seconds
private val loadTime = 90.seconds

/** Applies [script] to [layout] with one strategy for each zone, in steps of one second of virtual time. */
internal fun measurePlacement(
    layout: Layout,
    script: List<Fault>,
    length: Duration,
    strategies: List<ZoneStrategy>,
): PlacementResult {
    val vms = layout.entries.map { BenchVm(it, loadTime) }
    val zones = layout.zones.map { zone -> vms.filter { it.entry.zone == zone } }
    val faults = ArrayDeque(script)
    var total = PlacementResult(0.0, 0.0, 0)
    var now = Duration.ZERO
    while (now < length) {
        while (faults.isNotEmpty() && faults.first().at <= now) vms.apply(faults.removeFirst(), now)
        vms.forEach { it.applyDueStop(now) }
        zones.zip(strategies).forEach { (zoneVms, strategy) ->
            val groups = strategy(zoneVms, now)
            total = total.plus(zoneVms, groups, layout.groupsPerZone, now)
        }
        now += tickInterval
    }
    return total
}

private fun List<BenchVm>.apply(fault: Fault, now: Duration) {
    when (fault) {
        is Fault.Crash -> first { it.entry.vm == fault.vm }.crash(now, fault.length)
        is Fault.Pause -> first { it.entry.vm == fault.vm }.makeUnreachable(now, fault.length)
        is Fault.PlannedStop -> first { it.entry.vm == fault.vm }.announceStop(now + fault.notice, fault.length)
        is Fault.DomainOutage ->
            filter { it.entry.fabricDomain == fault.domain }.forEach { it.makeUnreachable(now, fault.length) }
    }
}

private fun PlacementResult.plus(
    vms: List<BenchVm>,
    groups: List<ServingGroup>,
    wanted: Int,
    now: Duration,
): PlacementResult {
    val byName = vms.associateBy { it.entry.vm }
    val serving =
        groups.filter { group ->
            group.assignments().all { (vm, assignment) -> byName.getValue(vm).isReadyAs(assignment, now) }
        }
    val missingGroups = (wanted - serving.size).coerceAtLeast(0)
    val servingVms = serving.sumOf { it.members.size }
    val healthy = vms.count { it.isUp(now) && !it.isStopAnnounced }
    val stranded = if (missingGroups > 0) (healthy - servingVms).coerceAtLeast(0) * ACCELERATORS_PER_VM else 0
    return PlacementResult(
        groupDowntime + missingGroups,
        strandedAccelerators + stranded,
        maxOf(maxConcurrentLoads, vms.count { it.isLoading(now) }),
    )
}
