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

/** Versions of the control state that a process has adopted; 0 stands for none. */
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

/** Whose status of which zone. */
data class ZoneKey(val zone: AvailabilityZone, val observer: ProcessName)

/** The newest status that a process holds: its sequence and the sequence at which the content last changed. */
data class ZoneHeartbeat(
    val key: ZoneKey,
    val sequence: Long,
    val contentSequence: Long,
    /** Epoch of the zone's lease while the observer holds it. */
    val holder: LeaseEpoch? = null,
)

/** A heartbeat with its [age] when the message was made. [groups] is null when the receiver holds the content. */
data class ZoneUpdate(val heartbeat: ZoneHeartbeat, val age: Duration, val groups: List<GroupStatus>?)

/** A server that turned cold without a restart, known for [age]. */
data class ColdUpdate(val report: ColdReport, val age: Duration)

/**
 * The first message of an exchange: what the sender holds. Its ages only tell the receiver what is worth answering.
 * The receiver must not adopt them, because the message may have waited in a socket while its process was stopped.
 */
data class GossipDigest(
    val versions: ControlVersions,
    val stamp: ConfirmationStamp?,
    val zones: List<ZoneHeartbeat>,
    val changes: List<MemberChange> = emptyList(),
    val cold: List<ColdUpdate> = emptyList(),
    /** Whether the sender may soon have to rely on a majority and wants proofs. */
    val wantsReachability: Boolean = false,
)

/** The answer to a [GossipDigest]: what its sender lacks. Its ages are valid when the time of the request is added. */
data class GossipAnswer(
    val versions: ControlVersions,
    val stamp: ConfirmationStamp?,
    val zones: List<ZoneUpdate>,
    val changes: List<MemberChange> = emptyList(),
    val cold: List<ColdUpdate> = emptyList(),
    val reachability: ReachabilityAges? = null,
)
