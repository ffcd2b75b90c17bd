package redwingcross.bench.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.Vm
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.placement.OrderResult
import redwingcross.version.placement.PlacementDecision
import redwingcross.version.placement.PlacementEffect
import redwingcross.version.placement.PlacementMessage
import redwingcross.version.placement.PlacementSettings
import redwingcross.version.placement.PlacementState
import redwingcross.version.placement.PlacementVersion
import redwingcross.version.placement.ServingGroup
import kotlin.time.Duration

/** The placement decision of the controller, with a platform that responds immediately. */
internal class RepairStrategy(zone: AvailabilityZone, layout: Layout) {
    private var state =
        PlacementState(zone, "bench", PlacementSettings(maxConcurrentLoads = MAX_CONCURRENT_LOADS), layout.control)
    private var version = 0L
    private var vms = emptyMap<Vm, BenchVm>()

    init {
        step(PlacementMessage.LeaseAcquired(LeaseEpoch(1), former = false), Duration.ZERO)
        step(PlacementMessage.LeaseExtended(Duration.INFINITE), Duration.ZERO)
    }

    val strategy: ZoneStrategy = { zoneVms, now ->
        vms = zoneVms.associateBy { it.entry.vm }
        val leaving = zoneVms.filter { it.isStopAnnounced }.map { it.entry.vm }.toSet()
        if (leaving != state.leaving) step(PlacementMessage.LeavingChanged(leaving), now)
        zoneVms.forEach { step(reportOf(it, now), now) }
        step(PlacementMessage.Tick, now)
        groups()
    }

    private fun groups(): List<ServingGroup> = state.stored?.placement?.groups.orEmpty()

    private fun reportOf(vm: BenchVm, now: Duration): PlacementMessage = if (vm.isUp(now)) {
        PlacementMessage.ReportArrived(vm.entry.vm, vm.report(now), now)
    } else {
        PlacementMessage.ReportMissed(vm.entry.vm, now)
    }

    private fun step(message: PlacementMessage, now: Duration) {
        val transition = PlacementDecision.step(state, message, now)
        state = transition.state
        transition.effects.forEach { execute(it, now) }
    }

    private fun execute(effect: PlacementEffect, now: Duration) {
        when (effect) {
            is PlacementEffect.ReadPlacement -> step(PlacementMessage.ReadAnswered(effect.call, null), now)
            is PlacementEffect.WritePlacement -> {
                version += 1
                step(PlacementMessage.Written(effect.call, PlacementVersion(version)), now)
            }
            is PlacementEffect.OrderEngine -> {
                vms.getValue(effect.order.vm).order(effect.order.assignment, now)
                step(PlacementMessage.OrderAnswered(effect.order.vm, OrderResult.Accepted), now)
            }
            is PlacementEffect.RecheckLease -> Unit
        }
    }
}
