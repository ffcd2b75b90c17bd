package redwingcross.version.operation

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Vm
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion

/** A change that operators make immediately, outside the bundle. */
sealed interface OverridesChange {
    /** Takes a zone out of service. */
    data class TakeZoneOut(val zone: AvailabilityZone) : OverridesChange

    /** Returns a zone to service. */
    data class ReturnZone(val zone: AvailabilityZone) : OverridesChange

    /** Makes a VM unusable for groups until it is returned. */
    data class DrainVm(val vm: Vm) : OverridesChange

    /** Replaces a VM in its group by a spare before the VM stops serving. */
    data class RetireVm(val vm: Vm) : OverridesChange

    /** Cancels a drain or retirement of a VM. */
    data class ReturnVm(val vm: Vm) : OverridesChange

    /** Sends no new requests to a server until it is returned. */
    data class DrainServer(val server: BackendServer) : OverridesChange

    /** Cancels the drain of a server. */
    data class ReturnServer(val server: BackendServer) : OverridesChange
}

/** Applies [change] and increments the version; [OperationResult.AlreadyDone] if nothing changes. */
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
