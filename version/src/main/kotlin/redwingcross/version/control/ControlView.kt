package redwingcross.version.control

import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/** What a node knows of the control state, and until when it may act on it. */
data class ControlView(
    val control: ControlState = ControlState(),
    val history: GatewaySetHistory = GatewaySetHistory(),
    /** Reading of the process clock from which the view is stale; null if it was never fresh. */
    val freshUntil: Duration? = null,
    /** Reading of the process clock at which the platform is known to have held these versions, for stamps. */
    val confirmedAt: Duration? = null,
) {
    /** VMs that the platform is about to stop. */
    val leavingVms: Set<Vm> get() = control.leaving.vms

    /** Whether new work may be admitted on this view at [now]. */
    fun isFresh(now: Duration): Boolean = control.bundle != null && freshUntil != null && now < freshUntil

    /**
     * The stamp to pass on at [now]; null before the first bundle. Its age may exceed the lifetime of a view: it
     * confirms nothing then, but still tells peers of the versions.
     */
    fun stamp(now: Duration): ConfirmationStamp? = control.bundle?.let {
        val age = confirmedAt?.let { now - it } ?: NEVER_CONFIRMED
        ConfirmationStamp(it.version, control.overrides.version, age, control.leaving.version)
    }

    private companion object {
        /** Age of the stamp of a node that only ever heard from peers. */
        val NEVER_CONFIRMED = 1.days
    }
}
