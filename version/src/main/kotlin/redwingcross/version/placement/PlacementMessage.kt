package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import kotlin.time.Duration

/** Version of the placement object, assigned by the store. */
@JvmInline
value class PlacementVersion(val value: Long) : Comparable<PlacementVersion> {
    override fun compareTo(other: PlacementVersion): Int = value.compareTo(other.value)
}

/** A placement with the version of its object. */
data class StoredPlacement(val version: PlacementVersion, val placement: Placement)

/** Input of [PlacementDecision]. */
sealed interface PlacementMessage {
    /** Time passed; sent at least every half second. */
    data object Tick : PlacementMessage

    /** The bundle or the operators' overrides changed. */
    data class ControlChanged(val control: ControlState) : PlacementMessage

    /** The VMs that the platform lists as leaving. */
    data class LeavingChanged(val leaving: Set<Vm>) : PlacementMessage

    /** This process acquired the zone's lease; [former] is true if the zone had a holder before. */
    data class LeaseAcquired(val epoch: LeaseEpoch, val former: Boolean) : PlacementMessage

    /** This process may act as holder before [until]; zero if it does not hold the lease or releases it. */
    data class LeaseExtended(val until: Duration) : PlacementMessage

    data object LeaseLost : PlacementMessage

    /** Result of the read or write with the number [call]. */
    sealed interface CallEnded : PlacementMessage {
        val call: Long
    }

    /** [stored] is null if the object is absent. */
    data class ReadAnswered(override val call: Long, val stored: StoredPlacement?) : CallEnded

    /** The write took effect and made [version]. */
    data class Written(override val call: Long, val version: PlacementVersion) : CallEnded

    /** The object was not at the expected version. */
    data class Conflict(override val call: Long) : CallEnded

    /** The call had no effect. */
    data class CallFailed(override val call: Long) : CallEnded

    /** The write may have taken effect, or may still do so. */
    data class OutcomeUnknown(override val call: Long) : CallEnded

    /** A VM's engine reported; [requestedAt] is when the report was requested. */
    data class ReportArrived(val vm: Vm, val report: MemberReport, val requestedAt: Duration) : PlacementMessage

    /** A report request to a VM's engine failed. */
    data class ReportMissed(val vm: Vm, val requestedAt: Duration) : PlacementMessage

    data class OrderAnswered(val vm: Vm, val result: OrderResult) : PlacementMessage
}

/** Outcome of an order. */
sealed interface OrderResult {
    data object Accepted : OrderResult

    /** The engine rejected the order, because it has accepted an order with the higher epoch [highest]. */
    data class Fenced(val highest: LeaseEpoch) : OrderResult

    /** The order was refused, was not sent or has an unknown outcome; later reports show whether it took effect. */
    data class Failed(val detail: String) : OrderResult
}

/** An action that the owning task carries out for the placement decision. */
sealed interface PlacementEffect {
    data class ReadPlacement(val call: Long) : PlacementEffect

    /** Writes the placement if the object is at version [expected]; null means that the object must be absent. */
    data class WritePlacement(val call: Long, val expected: PlacementVersion?, val placement: Placement) :
        PlacementEffect

    /** Sends an order to an engine. */
    data class OrderEngine(val order: MemberOrder) : PlacementEffect

    /** An engine accepted a fencing token above [epoch], so the lease must be read again. */
    data class RecheckLease(val epoch: LeaseEpoch) : PlacementEffect
}
