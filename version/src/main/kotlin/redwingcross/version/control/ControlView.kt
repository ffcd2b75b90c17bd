package redwingcross.version.control

import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/** A node's view of the control state, and the time until which the node may use it to admit requests. */
data class ControlView(
    val control: ControlState = ControlState(),
    val history: GatewaySetHistory = GatewaySetHistory(),
    /** Reading of the process clock at which the view becomes stale; null if it was never fresh. */
    val freshUntil: Duration? = null,
    /**
     * Latest reading of the process clock at which the platform is known to have had these versions; used in stamps.
     */
    val confirmedAt: Duration? = null,
) {
    /** VMs that the platform is about to stop. */
    val leavingVms: Set<Vm> get() = control.leaving.vms

    /** Whether requests may be admitted on the basis of this view at [now]. */
    fun isFresh(now: Duration): Boolean = control.bundle != null && freshUntil != null && now < freshUntil

    /**
     * The stamp to send to peers at [now]; null before the first bundle. Its age may exceed the lifetime of a view:
     * then it confirms nothing, but still informs peers of the versions.
     */
    fun stamp(now: Duration): ConfirmationStamp? = control.bundle?.let {
        val age = confirmedAt?.let { now - it } ?: NEVER_CONFIRMED
        ConfirmationStamp(it.version, control.overrides.version, age, control.leaving.version)
    }

    private companion object {
        /** Stamp age sent by a node whose versions were never confirmed by the platform; exceeds any view lifetime. */
        val NEVER_CONFIRMED = 1.days
    }
}
