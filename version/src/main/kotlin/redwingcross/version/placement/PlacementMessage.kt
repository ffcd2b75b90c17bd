package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import kotlin.time.Duration

/** Version of the placement object, as given by its store. */
@JvmInline
value class PlacementVersion(val value: Long) : Comparable<PlacementVersion> {
    override fun compareTo(other: PlacementVersion): Int = value.compareTo(other.value)
}

/** A placement with the version of its object. */
data class StoredPlacement(val version: PlacementVersion, val placement: Placement)

/** What the placement decision learns. */
sealed interface PlacementMessage {
    /** Time passed; sent at least every half second. */
    data object Tick : PlacementMessage

    data class ControlChanged(val control: ControlState) : PlacementMessage

    /** The VMs that the platform lists as leaving. */
    data class LeavingChanged(val leaving: Set<Vm>) : PlacementMessage

    /** The zone's lease was taken; [former] is true if the zone had a holder before. */
    data class LeaseAcquired(val epoch: LeaseEpoch, val former: Boolean) : PlacementMessage

    /** The holder may act before [until]; zero when it gives the lease up. */
    data class LeaseExtended(val until: Duration) : PlacementMessage

    data object LeaseLost : PlacementMessage

    /** The end of the read or write [call]. */
    sealed interface CallEnded : PlacementMessage {
        val call: Long
    }

    /** [stored] is null if the object is absent. */
    data class ReadAnswered(override val call: Long, val stored: StoredPlacement?) : CallEnded

    data class Written(override val call: Long, val version: PlacementVersion) : CallEnded

    /** The object was not at the expected version. */
    data class Conflict(override val call: Long) : CallEnded

    /** The call had no effect. */
    data class CallFailed(override val call: Long) : CallEnded

    /** The write may have taken effect, or may still do so. */
    data class OutcomeUnknown(override val call: Long) : CallEnded

    data class ReportArrived(val vm: Vm, val report: MemberReport, val requestedAt: Duration) : PlacementMessage

    data class ReportMissed(val vm: Vm, val requestedAt: Duration) : PlacementMessage

    data class OrderAnswered(val vm: Vm, val result: OrderResult) : PlacementMessage
}

/** What became of an order. */
sealed interface OrderResult {
    data object Accepted : OrderResult

    /** The engine has accepted an order of a newer holder. */
    data class Fenced(val highest: LeaseEpoch) : OrderResult

    /** Refused, not sent or unknown; the reports show which. */
    data class Failed(val detail: String) : OrderResult
}

/** What the owning task carries out for the placement decision. */
sealed interface PlacementEffect {
    data class ReadPlacement(val call: Long) : PlacementEffect

    /** Conditional write; [expected] null means that the object is absent. */
    data class WritePlacement(val call: Long, val expected: PlacementVersion?, val placement: Placement) :
        PlacementEffect

    data class OrderEngine(val order: MemberOrder) : PlacementEffect

    /** An engine accepted a token above [epoch]; the lease must be read again. */
    data class RecheckLease(val epoch: LeaseEpoch) : PlacementEffect
}
