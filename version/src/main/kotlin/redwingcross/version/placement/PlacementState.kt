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
    /** VMs of the zone that may load weights at once, so that the weight store keeps its rate. */
    val maxConcurrentLoads: Int = 16,
    val leaseDuration: Duration = 10.seconds,
    /** Longest time that an order of a former holder can travel. */
    val maxOrderDelay: Duration = 5.seconds,
    /** Time without effect after which an order is given again. */
    val orderRetry: Duration = 3.seconds,
    /** Pause after a failed call to the platform. */
    val retryInterval: Duration = 1.seconds,
)

/** The lease as the placement decision knows it. */
data class Hold(
    val epoch: LeaseEpoch,
    /** Before this time, engines that ignore fencing tokens get no orders. */
    val unfencedFrom: Duration,
    /** Nothing is decided from this time on, until the lease is renewed. */
    val validUntil: Duration = Duration.ZERO,
)

/** A write that has no confirmed outcome. */
data class PendingPlacement(val expected: PlacementVersion?, val placement: Placement)

/** An order that was given and whose effect no report has shown yet. */
data class SentOrder(val assignment: Assignment, val sentAt: Duration)

/** State of the holder of a zone's lease. */
data class PlacementState(
    val zone: AvailabilityZone,
    /** Differs for each start of the process; makes the nonces of writes unique. */
    val incarnation: String,
    val settings: PlacementSettings = PlacementSettings(),
    val control: ControlState = ControlState(),
    val leaving: Set<Vm> = emptySet(),
    val hold: Hold? = null,
    /** Set while the placement is known to be the newest under the held lease. */
    val stored: StoredPlacement? = null,
    /** The placement object is known to be absent. */
    val absent: Boolean = false,
    val pending: PendingPlacement? = null,
    /** Number of the call that has not answered. */
    val call: Long? = null,
    val calls: Long = 0,
    val nextCallAt: Duration = Duration.ZERO,
    val views: MemberViews = emptyMap(),
    val orders: Map<Vm, SentOrder> = emptyMap(),
) {
    /** VMs of the zone according to the bundle. */
    val entries: Map<Vm, VmEntry>
        get() =
            control.bundle?.bundle?.vms.orEmpty().filter { it.zone == zone }.associateBy { it.vm }

    /** The placement if this holder has confirmed it under its own epoch; only then it may be acted on. */
    val claimed: Placement?
        get() = stored?.placement?.takeIf { pending == null && it.epoch == hold?.epoch }
}
