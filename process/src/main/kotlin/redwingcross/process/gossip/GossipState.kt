package redwingcross.process.gossip

import redwingcross.process.membership.Reachability
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Versions that the platform confirmed; [createdAt] is the earliest possible time of that on the local clock. */
internal data class StampRecord(val versions: ControlVersions, val createdAt: Duration) {
    fun at(now: Duration) = ConfirmationStamp(versions.bundle, versions.overrides, now - createdAt, versions.leaving)

    /**
     * Combines two stamps. A stamp with lower versions comes from a read that the platform answered from an older
     * state, so it confirms nothing. If each stamp is ahead in one part, the result has the newer versions and the
     * greater age.
     */
    fun merge(other: StampRecord): StampRecord = when {
        versions == other.versions -> if (other.createdAt > createdAt) other else this
        !versions.isAheadOf(other.versions) -> other
        !other.versions.isAheadOf(versions) -> this
        else -> StampRecord(versions.max(other.versions), minOf(createdAt, other.createdAt))
    }
}

internal fun ConfirmationStamp.toRecord(at: Duration) = StampRecord(ControlVersions(bundle, overrides, vms), at - age)

/** The newest zone status of one observer. */
internal data class ZoneRecord(
    val heartbeat: ZoneHeartbeat,
    /** Earliest possible time of the heartbeat on the local clock, so that its age is never understated. */
    val createdAt: Duration,
    val groups: List<GroupStatus>,
    /** Time at which [groups] were received. Their ready times increase from then on, so they are never overstated. */
    val contentReceivedAt: Duration,
) {
    fun groupsAt(now: Duration): List<GroupStatus> = groups.map { it.readyAfter(now - contentReceivedAt) }

    fun statusAt(now: Duration) =
        ZoneStatus(heartbeat.key.zone, heartbeat.key.observer, heartbeat.sequence, groupsAt(now), heartbeat.holder)

    fun updateAt(now: Duration, withGroups: Boolean) =
        ZoneUpdate(heartbeat, now - createdAt, if (withGroups) groupsAt(now) else null)
}

internal fun GroupStatus.readyAfter(elapsed: Duration): GroupStatus =
    if (readiness == GroupReadiness.READY) copy(readyFor = readyFor + elapsed) else this

/** A zone status of this process that is not published yet. */
internal data class PendingStatus(val status: ZoneStatus, val observedAt: Duration)

/** A cold report that was created at [createdAt] on the local clock and was sent [sends] times. */
internal data class ColdRecord(val createdAt: Duration, val sends: Int)

/** Immutable state of [Gossip]. */
data class GossipState internal constructor(
    val self: ProcessName,
    /** Versions of the control state that this process has adopted. */
    val versions: ControlVersions = ControlVersions(),
    val reachability: Reachability = Reachability(),
    internal val stamp: StampRecord? = null,
    internal val zones: Map<ZoneKey, ZoneRecord> = emptyMap(),
    /** Highest sequences that a predecessor with the name of this process published, as received from peers. */
    internal val predecessorSequences: Map<ZoneKey, Long> = emptyMap(),
    internal val pendingStatuses: Map<ZoneKey, PendingStatus> = emptyMap(),
    internal val cold: Map<ColdReport, ColdRecord> = emptyMap(),
    /** Requests in flight, with the time from which they may be retried. */
    internal val fetching: Map<Fetch, Duration> = emptyMap(),
    /** Whether a peer has answered a digest, which fills [predecessorSequences]. */
    internal val hasReceivedAnswer: Boolean = false,
    internal val startedAt: Duration,
    internal val nextRound: Duration,
) {
    /** The newest confirmation stamp with its age at [now]; null if there is none. */
    fun stampAt(now: Duration): ConfirmationStamp? = stamp?.at(now)
}

/** Content that is fetched with a separate request. */
internal sealed interface Fetch {
    data object Control : Fetch

    data class Zone(val key: ZoneKey) : Fetch
}
