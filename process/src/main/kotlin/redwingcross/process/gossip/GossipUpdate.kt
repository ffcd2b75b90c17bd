package redwingcross.process.gossip

import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.ReachabilityAges
import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.OverridesVersion
import redwingcross.version.control.VmListVersion
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Versions of the control state that a process has adopted; 0 means none. [leaving] is that of the leaving VMs. */
data class ControlVersions(
    val bundle: BundleVersion = BundleVersion(0),
    val overrides: OverridesVersion = OverridesVersion(0),
    val leaving: VmListVersion = VmListVersion(0),
) {
    /** Whether any part is newer than in [other]. */
    fun isAheadOf(other: ControlVersions): Boolean =
        bundle > other.bundle || overrides > other.overrides || leaving > other.leaving

    internal fun max(other: ControlVersions): ControlVersions = ControlVersions(
        maxOf(bundle, other.bundle),
        maxOf(overrides, other.overrides),
        maxOf(leaving, other.leaving),
    )
}

/** Identifies the status of [zone] by [observer]. */
data class ZoneKey(val zone: AvailabilityZone, val observer: ProcessName)

/** Version of a zone status: its sequence and the sequence at which its content last changed. */
data class ZoneHeartbeat(
    val key: ZoneKey,
    val sequence: Long,
    val contentSequence: Long,
    /** Epoch of the zone's lease while the observer holds it; null otherwise. */
    val holder: LeaseEpoch? = null,
)

/** A heartbeat with its [age] when the message was created. [groups] is null if the message contains no content. */
data class ZoneUpdate(val heartbeat: ZoneHeartbeat, val age: Duration, val groups: List<GroupStatus>?)

/** A report, [age] old, that a server turned cold without a restart. */
data class ColdUpdate(val report: ColdReport, val age: Duration)

/**
 * First message of an exchange: the versions that the sender has. The receiver uses the age of [stamp] only to select
 * what to answer. It must not adopt it, because the message may have waited in a socket while the receiver was paused.
 */
data class GossipDigest(
    val versions: ControlVersions,
    val stamp: ConfirmationStamp?,
    val zones: List<ZoneHeartbeat>,
    val changes: List<MemberChange> = emptyList(),
    val cold: List<ColdUpdate> = emptyList(),
    /** Whether the sender may soon depend on a reachable majority and requests proofs of reachability. */
    val wantsReachability: Boolean = false,
)

/**
 * The answer to a [GossipDigest]: the updates that the sender of the digest lacks. Its ages are counted from the time
 * at which the digest was sent.
 */
data class GossipAnswer(
    val versions: ControlVersions,
    val stamp: ConfirmationStamp?,
    val zones: List<ZoneUpdate>,
    val changes: List<MemberChange> = emptyList(),
    val cold: List<ColdUpdate> = emptyList(),
    val reachability: ReachabilityAges? = null,
)
