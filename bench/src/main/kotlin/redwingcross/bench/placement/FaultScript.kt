package redwingcross.bench.placement

import redwingcross.request.Vm
import redwingcross.version.bundle.FabricDomain
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A fault of a VM or a fabric domain at a virtual time. */
internal sealed interface Fault {
    val at: Duration

    /** The VM is down for [length] and restarts without weights. */
    data class Crash(override val at: Duration, val vm: Vm, val length: Duration) : Fault

    /** The VM is unreachable for [length] and then continues with its weights. */
    data class Pause(override val at: Duration, val vm: Vm, val length: Duration) : Fault

    /** The platform announces the stop of the VM, stops it after [notice] and restarts it after [length]. */
    data class PlannedStop(override val at: Duration, val vm: Vm, val notice: Duration, val length: Duration) : Fault

    /** All VMs of the domain are unreachable for [length]; those that did not restart keep their weights. */
    data class DomainOutage(override val at: Duration, val domain: FabricDomain, val length: Duration) : Fault
}

/** Number of faults of each type in one run. */
internal data class FaultCounts(val crashes: Int, val plannedStops: Int, val pauses: Int, val domainOutages: Int)

/** Generates the faults of a run of [length], sorted by time; the same arguments give the same faults. */
internal fun faultScript(layout: Layout, counts: FaultCounts, length: Duration, seed: Long): List<Fault> {
    val random = Random(seed)
    val vms = layout.entries.map { it.vm }
    val domains = layout.entries.map { it.fabricDomain }.distinct()

    fun time() = 10.minutes + ((length - 1.hours).inWholeMilliseconds * random.nextDouble()).toLong().milliseconds
    val crashes = List(counts.crashes) { Fault.Crash(time(), vms.random(random), (20 + random.nextInt(100)).minutes) }
    val plannedStops =
        List(counts.plannedStops) { Fault.PlannedStop(time(), vms.random(random), 10.minutes, 3.minutes) }
    val pauses = List(counts.pauses) { Fault.Pause(time(), vms.random(random), (1 + random.nextInt(9)).seconds) }
    val outages = List(counts.domainOutages) { Fault.DomainOutage(time(), domains.random(random), 12.minutes) }
    return (crashes + plannedStops + pauses + outages).sortedBy { it.at }
}
