package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/** Versions of the three parts of the control state. */
data class ControlVersions(val bundle: BundleVersion, val overrides: OverridesVersion, val leaving: VmListVersion) {
    /** Whether no part is older than in [other]. */
    fun covers(other: ControlVersions): Boolean =
        bundle >= other.bundle && overrides >= other.overrides && leaving >= other.leaving
}

internal fun ControlState.bundleVersion(): BundleVersion = bundle?.version ?: BundleVersion(0)

internal fun ControlState.versions(): ControlVersions =
    ControlVersions(bundleVersion(), overrides.version, leaving.version)

internal fun ConfirmationStamp.versions(): ControlVersions = ControlVersions(bundle, overrides, vms)

/** Versions that the platform held at [at], by a stamp that is ahead of the node's own versions. */
data class AheadStamp(val versions: ControlVersions, val at: Duration)

/** The state of [ControlDecision]. A restarted node starts with an empty memory. */
data class ControlDecisionState(
    val control: ControlState = ControlState(),
    val history: GatewaySetHistory = GatewaySetHistory(),
    /** Object versions of the VMs as the platform listed them; they expose an outdated list. */
    val listedVersions: Map<Vm, Long> = emptyMap(),
    /** When the newest question was sent whose answer confirmed kind `control`. */
    val controlHeardAt: Duration? = null,
    /** When the newest question was sent whose answer confirmed kind `vms`. */
    val vmsHeardAt: Duration? = null,
    /** Whether the last answer about kind `control` was older than this node's versions. */
    val controlOutdated: Boolean = false,
    /** Whether the last answer about kind `vms` was older than an earlier one. */
    val vmsOutdated: Boolean = false,
    /** When some node heard from the platform that this node's versions are in force. */
    val stampedAt: Duration? = null,
    /** Whether the platform answered, before the first adoption, that no bundle was ever accepted. */
    val sawNoBundle: Boolean = false,
    val ahead: AheadStamp? = null,
    val majorityAt: Duration? = null,
    /** When each peer was asked whose control state arrived. */
    val answered: Map<ProcessName, Duration> = emptyMap(),
    /**
     * Whether the view has been fresh without a break since a time when the node knew the versions in force. Only then
     * does hearing nothing of a higher version mean that there is none.
     */
    val established: Boolean = false,
) {
    /** When the platform is known to have held no higher versions than this node has. */
    fun confirmedAt(): Duration? {
        val heard = if (controlHeardAt != null && vmsHeardAt != null) minOf(controlHeardAt, vmsHeardAt) else null
        return listOfNotNull(heard, stampedAt).maxOrNull()
    }

    /** Reading of the process clock from which the view is stale, by rules (a) to (c) of the design page, 5.2. */
    fun freshUntil(settings: ViewSettings): Duration? {
        val confirmed = confirmedAt()
        val byMajority = majorityAt?.takeIf { established && ahead == null }
        return listOfNotNull(confirmed, byMajority).maxOrNull()?.plus(settings.viewLifetime)
    }

    internal fun isFresh(settings: ViewSettings, now: Duration): Boolean =
        freshUntil(settings)?.let { now < it } ?: false

    fun view(settings: ViewSettings): ControlView = ControlView(control, history, freshUntil(settings), confirmedAt())
}
