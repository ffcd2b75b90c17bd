package redwingcross.version.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.Vm
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.ControlState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of the placement of one zone. */
data class PlacementSettings(
    val members: MemberTimeouts = MemberTimeouts(),
    /** Maximum number of the zone's VMs that load weights at the same time, so that the weight store keeps its rate. */
    val maxConcurrentLoads: Int = 16,
    val leaseDuration: Duration = 10.seconds,
    /** Upper bound of the time in which an order of a previous holder reaches an engine. */
    val maxOrderDelay: Duration = 5.seconds,
    /** Time after which an order is sent again if no report shows its effect. */
    val orderRetry: Duration = 3.seconds,
    /** Pause after a failed call to the platform. */
    val retryInterval: Duration = 1.seconds,
)

/** The held lease, as far as the placement decision needs it. */
data class LeaseHold(
    val epoch: LeaseEpoch,
    /** Before this time, no orders are sent to engines that ignore fencing tokens. */
    val unfencedOrdersFrom: Duration,
    /** From this time on nothing is decided until the lease is renewed. */
    val validUntil: Duration = Duration.ZERO,
)

/** A write whose outcome is not confirmed; [expected] is null if the object must be absent. */
data class PendingPlacement(val expected: PlacementVersion?, val placement: Placement)

/** The last order that was sent to an engine. */
data class SentOrder(val assignment: Assignment, val sentAt: Duration)

/** State of [PlacementDecision] for one zone. */
data class PlacementState(
    val zone: AvailabilityZone,
    /** Differs for each start of the process and makes the nonces of its writes unique. */
    val incarnation: String,
    val settings: PlacementSettings = PlacementSettings(),
    val control: ControlState = ControlState(),
    /** VMs that the platform lists as leaving. */
    val leaving: Set<Vm> = emptySet(),
    /** Null while this process does not hold the lease. */
    val hold: LeaseHold? = null,
    /** Latest placement; null if it must be read again. */
    val stored: StoredPlacement? = null,
    /** Whether the placement object is known to be absent. */
    val absent: Boolean = false,
    val pending: PendingPlacement? = null,
    /** Number of the call in progress; null if there is none. */
    val call: Long? = null,
    /** Number of calls so far. */
    val calls: Long = 0,
    /** Earliest time of the next call. */
    val nextCallAt: Duration = Duration.ZERO,
    val views: MemberViews = emptyMap(),
    val orders: Map<Vm, SentOrder> = emptyMap(),
) {
    /** VMs of the zone according to the bundle. */
    val entries: Map<Vm, VmEntry>
        get() =
            control.bundle?.bundle?.vms.orEmpty().filter { it.zone == zone }.associateBy { it.vm }

    /** The placement if it is confirmed under this holder's own epoch; orders are sent only then. Null otherwise. */
    val claimed: Placement?
        get() = stored?.placement?.takeIf { pending == null && it.epoch == hold?.epoch }
}
