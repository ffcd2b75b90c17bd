package redwingcross.process.gossip

import redwingcross.process.membership.Reachability
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Versions confirmed by the platform at [bornAt], the earliest possible time on the local clock. */
internal data class HeldStamp(val versions: ControlVersions, val bornAt: Duration) {
    fun at(now: Duration) = ConfirmationStamp(versions.bundle, versions.overrides, now - bornAt, versions.leaving)

    /**
     * A stamp with lower versions comes from a read that the platform answered from an older state, so it confirms
     * nothing. Stamps that are each ahead in one part are combined with the greater age.
     */
    fun merge(other: HeldStamp): HeldStamp = when {
        versions == other.versions -> if (other.bornAt > bornAt) other else this
        !versions.isAheadOf(other.versions) -> other
        !other.versions.isAheadOf(versions) -> this
        else -> HeldStamp(versions.max(other.versions), minOf(bornAt, other.bornAt))
    }
}

internal fun ConfirmationStamp.heldAt(at: Duration) = HeldStamp(ControlVersions(bundle, overrides, vms), at - age)

/** The newest status of one observer. */
internal data class HeldZone(
    val heartbeat: ZoneHeartbeat,
    /** Earliest possible time of the heartbeat, so that its age is never understated. */
    val bornAt: Duration,
    val groups: List<GroupStatus>,
    /** When [groups] arrived. Their ready times grow from here, so they are never overstated. */
    val heldSince: Duration,
) {
    fun groupsAt(now: Duration): List<GroupStatus> = groups.map { it.readyAfter(now - heldSince) }

    fun statusAt(now: Duration) =
        ZoneStatus(heartbeat.key.zone, heartbeat.key.observer, heartbeat.sequence, groupsAt(now), heartbeat.holder)

    fun newsAt(now: Duration, withGroups: Boolean) =
        ZoneUpdate(heartbeat, now - bornAt, if (withGroups) groupsAt(now) else null)
}

internal fun GroupStatus.readyAfter(elapsed: Duration): GroupStatus =
    if (readiness == GroupReadiness.READY) copy(readyFor = readyFor + elapsed) else this

/** A status of this process that was not published yet. */
internal data class Withheld(val status: ZoneStatus, val observedAt: Duration)

internal data class HeldCold(val bornAt: Duration, val sends: Int)

/** Everything that gossip remembers. */
data class GossipState internal constructor(
    val self: ProcessName,
    /** Versions that this process has adopted. */
    val versions: ControlVersions = ControlVersions(),
    val reachability: Reachability = Reachability(),
    internal val stamp: HeldStamp? = null,
    internal val zones: Map<ZoneKey, HeldZone> = emptyMap(),
    /** Highest sequences heard for zones that this process observes, from a process before it under its name. */
    internal val floors: Map<ZoneKey, Long> = emptyMap(),
    internal val withheld: Map<ZoneKey, Withheld> = emptyMap(),
    internal val cold: Map<ColdReport, HeldCold> = emptyMap(),
    /** Requests under way, with the time after which they may be repeated. */
    internal val fetching: Map<Fetch, Duration> = emptyMap(),
    /** Whether any peer has answered, so that [floors] can be known. */
    internal val hasHeard: Boolean = false,
    internal val startedAt: Duration,
    internal val nextRound: Duration,
) {
    /** The newest confirmation stamp with its age at [now]. */
    fun stampAt(now: Duration): ConfirmationStamp? = stamp?.at(now)
}

/** Content that is asked for by a request of its own. */
internal sealed interface Fetch {
    data object Control : Fetch

    data class Zone(val key: ZoneKey) : Fetch
}
