package redwingcross.version.control

import redwingcross.request.Vm
import kotlin.time.Duration

/** What a node knows of the control state, and until when it may act on it. */
data class ControlView(
    val control: ControlState = ControlState(),
    val history: RosterHistory = RosterHistory(),
    /** Reading of the process clock from which the view is stale; null if it was never fresh. */
    val freshUntil: Duration? = null,
    /** Reading of the process clock at which the platform is known to have held these versions, for stamps. */
    val confirmedAt: Duration? = null,
) {
    /** VMs that the platform is about to stop. */
    val leavingVms: Set<Vm> get() = control.leaving.vms

    /** Whether new work may be admitted on this view at [now]. */
    fun isFresh(now: Duration): Boolean = control.bundle != null && freshUntil != null && now < freshUntil

    /** The stamp to pass on at [now]; null if nobody confirmed the view within [lifetime]. */
    fun stamp(now: Duration, lifetime: Duration): ConfirmationStamp? = confirmedAt
        ?.let { now - it }
        ?.takeIf { it < lifetime }
        ?.let { ConfirmationStamp(control.bundleVersion(), control.overrides.version, it, control.leaving.version) }
}
