package redwingcross.version.operation

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Vm
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion

/** What operators change at short notice, outside the bundle. */
sealed interface OverridesChange {
    data class TakeZoneOut(val zone: AvailabilityZone) : OverridesChange

    data class ReturnZone(val zone: AvailabilityZone) : OverridesChange

    data class DrainVm(val vm: Vm) : OverridesChange

    /** Replaces the VM in its group by a spare before it stops serving. */
    data class RetireVm(val vm: Vm) : OverridesChange

    data class ReturnVm(val vm: Vm) : OverridesChange

    data class DrainServer(val server: BackendServer) : OverridesChange

    data class ReturnServer(val server: BackendServer) : OverridesChange
}

/** Applies [change]; the version rises by one unless the wanted state holds already. */
fun changeOverrides(current: Overrides, change: OverridesChange, nonce: String): OperationResult<Overrides> {
    val changed = when (change) {
        is OverridesChange.TakeZoneOut -> current.copy(zonesOut = current.zonesOut + change.zone)
        is OverridesChange.ReturnZone -> current.copy(zonesOut = current.zonesOut - change.zone)
        is OverridesChange.DrainVm -> current.copy(drainedVms = current.drainedVms + change.vm)
        is OverridesChange.RetireVm -> current.copy(retiringVms = current.retiringVms + change.vm)
        is OverridesChange.ReturnVm -> current.copy(
            drainedVms = current.drainedVms - change.vm,
            retiringVms = current.retiringVms - change.vm,
        )
        is OverridesChange.DrainServer -> current.copy(drainedServers = current.drainedServers + change.server)
        is OverridesChange.ReturnServer -> current.copy(drainedServers = current.drainedServers - change.server)
    }
    if (changed == current) return OperationResult.AlreadyDone
    return OperationResult.Write(changed.copy(version = OverridesVersion(current.version.value + 1), nonce = nonce))
}
