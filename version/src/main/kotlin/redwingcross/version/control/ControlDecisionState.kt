package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/** Versions of the three parts of the control state. */
data class ControlVersions(val bundle: BundleVersion, val overrides: OverridesVersion, val leaving: VmListVersion) {
    /** Whether each of the three versions is equal to or higher than that of [other]. */
    fun covers(other: ControlVersions): Boolean =
        bundle >= other.bundle && overrides >= other.overrides && leaving >= other.leaving
}

internal fun ControlState.bundleVersion(): BundleVersion = bundle?.version ?: BundleVersion(0)

internal fun ControlState.versions(): ControlVersions =
    ControlVersions(bundleVersion(), overrides.version, leaving.version)

internal fun ConfirmationStamp.versions(): ControlVersions = ControlVersions(bundle, overrides, vms)

/** Versions that the platform had at [at] according to a stamp; at least one is higher than the node's own. */
data class NewerStamp(val versions: ControlVersions, val at: Duration)

/** State of [ControlDecision]. It is not persisted: a restarted node starts with the defaults. */
data class ControlDecisionState(
    val control: ControlState = ControlState(),
    val history: GatewaySetHistory = GatewaySetHistory(),
    /** Object versions of the VMs in the platform's latest list; a lower version shows that a response is outdated. */
    val listedVersions: Map<Vm, Long> = emptyMap(),
    /** When the latest request was sent whose response confirmed kind `control`. */
    val controlReadAt: Duration? = null,
    /** When the latest request was sent whose response confirmed kind `vms`. */
    val vmsReadAt: Duration? = null,
    /** Whether the last response about kind `control` contained lower versions than this node's. */
    val controlOutdated: Boolean = false,
    /** Whether the last response about kind `vms` was older than an earlier one. */
    val vmsOutdated: Boolean = false,
    /** Latest time at which the platform confirmed versions to some node that are not higher than this node's. */
    val stampedAt: Duration? = null,
    /** Whether the platform responded, before this node adopted a bundle, that none was ever accepted. */
    val noBundleConfirmed: Boolean = false,
    /** Latest stamp with versions that this node has not adopted yet. */
    val newerStamp: NewerStamp? = null,
    /** When the probes were sent that found a majority of the gateway set reachable; null without a majority. */
    val majorityProvedAt: Duration? = null,
    /** For each peer that replied with its control state: when the latest such request was sent. */
    val answered: Map<ProcessName, Duration> = emptyMap(),
    /**
     * Whether the view has been fresh without interruption since the node last had the versions in force confirmed.
     * Only then does the absence of higher versions from peers mean that there are none.
     */
    val isContinuouslyFresh: Boolean = false,
) {
    /** Latest time at which the platform is known to have had no higher versions than this node; null if unknown. */
    fun confirmedAt(): Duration? {
        val readAt = if (controlReadAt != null && vmsReadAt != null) minOf(controlReadAt, vmsReadAt) else null
        return listOfNotNull(readAt, stampedAt).maxOrNull()
    }

    /**
     * Reading of the process clock from which the view is stale, or null if it was never fresh. Implements rules (a) to
     * (c) of section 5.2 of the design page: confirmation by the platform, by a stamp, or by a reachable majority.
     */
    fun freshUntil(settings: ViewSettings): Duration? {
        val confirmed = confirmedAt()
        val byMajority = majorityProvedAt?.takeIf { isContinuouslyFresh && newerStamp == null }
        return listOfNotNull(confirmed, byMajority).maxOrNull()?.plus(settings.viewLifetime)
    }

    internal fun isFresh(settings: ViewSettings, now: Duration): Boolean =
        freshUntil(settings)?.let { now < it } ?: false

    fun view(settings: ViewSettings): ControlView = ControlView(control, history, freshUntil(settings), confirmedAt())
}
