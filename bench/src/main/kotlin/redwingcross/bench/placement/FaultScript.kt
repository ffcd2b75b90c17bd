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

    /** The VM is gone for [length] and returns without weights. */
    data class Crash(override val at: Duration, val vm: Vm, val length: Duration) : Fault

    /** The VM answers nothing for [length] and goes on with its weights. */
    data class Pause(override val at: Duration, val vm: Vm, val length: Duration) : Fault

    /** The platform announces the stop of the VM, stops it after [notice] and starts it again after [length]. */
    data class PlannedStop(override val at: Duration, val vm: Vm, val notice: Duration, val length: Duration) : Fault

    /** No VM of the domain is reachable for [length]; those that were not restarted keep their weights. */
    data class DarkDomain(override val at: Duration, val domain: FabricDomain, val length: Duration) : Fault
}

/** Numbers of faults in one run. */
internal data class FaultCounts(val crashes: Int, val plannedStops: Int, val pauses: Int, val darkDomains: Int)

/** A fault script that depends on the seed alone. */
internal fun faultScript(layout: Layout, counts: FaultCounts, length: Duration, seed: Long): List<Fault> {
    val random = Random(seed)
    val vms = layout.entries.map { it.vm }
    val domains = layout.entries.map { it.fabricDomain }.distinct()

    fun time() = 10.minutes + ((length - 1.hours).inWholeMilliseconds * random.nextDouble()).toLong().milliseconds
    val crashes = List(counts.crashes) { Fault.Crash(time(), vms.random(random), (20 + random.nextInt(100)).minutes) }
    val stops = List(counts.plannedStops) { Fault.PlannedStop(time(), vms.random(random), 10.minutes, 3.minutes) }
    val pauses = List(counts.pauses) { Fault.Pause(time(), vms.random(random), (1 + random.nextInt(9)).seconds) }
    val dark = List(counts.darkDomains) { Fault.DarkDomain(time(), domains.random(random), 12.minutes) }
    return (crashes + stops + pauses + dark).sortedBy { it.at }
}
