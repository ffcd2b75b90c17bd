package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.version.placement.BootId
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration

/** The newest accepted status of one group. All times are readings of the process clock. */
data class GroupView(
    val zone: AvailabilityZone,
    val status: GroupStatus,
    val observer: ProcessName,
    /** When the observer published the status, computed from the age that the status had when it was received. */
    val publishedAt: Duration,
    val receivedAt: Duration,
    /** When the first status of the current suspension was received; null while the group is ready. */
    val suspendedAt: Duration? = null,
    /** Replaced incarnations of the current generation; a delayed status must not make one of them current again. */
    val retired: List<BootId> = emptyList(),
) {
    /** Lower bound of the time for which the incarnation has been ready. */
    fun readyFor(now: Duration): Duration = status.readyFor + (now - receivedAt)

    /** Process clock reading before which the incarnation was not ready, if a status is at most [lag] out of date. */
    fun notReadyBefore(lag: Duration): Duration = publishedAt - status.readyFor - lag

    /** Whether the group can take requests at [now] according to a status that is not older than [lifetime]. */
    fun isReady(now: Duration, lifetime: Duration): Boolean =
        suspendedAt == null && status.readiness == GroupReadiness.READY && now < publishedAt + lifetime
}

/** Sequence number and publication time of the newest status of a zone accepted from one observer. */
data class ObservedZone(val sequence: Long, val publishedAt: Duration)

/**
 * The newest statuses of all groups. The most recently published status of a zone wins, with two exceptions: a group
 * never goes back to an older generation or incarnation, and a ready status from another observer does not end a
 * suspension until it has lasted for [RouterSettings.suspensionHold].
 */
data class GroupStatuses(
    val groups: Map<GroupId, GroupView> = emptyMap(),
    private val observed: Map<Pair<AvailabilityZone, ProcessName>, ObservedZone> = emptyMap(),
    private val newestPublishedAt: Map<AvailabilityZone, Duration> = emptyMap(),
) {
    /** Merges a [status] that was published at [publishedAt]; an outdated status is ignored. */
    fun receive(status: ZoneStatus, publishedAt: Duration, now: Duration, settings: RouterSettings): GroupStatuses {
        val source = status.zone to status.observer
        if (isOutdated(status, publishedAt, now, settings)) return this
        val listed = status.groups.associate { next ->
            next.group to merge(groups[next.group], next, status, publishedAt, now, settings)
        }
        val unlisted = groups.filter { (group, view) -> view.zone == status.zone && group !in listed }
            .filterValues { now < it.receivedAt + GENERATION_RETENTION }
            .mapValues { (_, view) -> view.copy(suspendedAt = view.suspendedAt ?: now, observer = status.observer) }
        val otherZones = groups.filterValues { it.zone != status.zone }
        return GroupStatuses(
            otherZones + unlisted + listed,
            observed + (source to ObservedZone(status.sequence, publishedAt)),
            newestPublishedAt + (status.zone to publishedAt),
        )
    }

    private fun isOutdated(
        status: ZoneStatus,
        publishedAt: Duration,
        now: Duration,
        settings: RouterSettings,
    ): Boolean {
        if (now >= publishedAt + settings.statusLifetime) return true
        val earlier = observed[status.zone to status.observer]
        // A restarted observer numbers its statuses from the start again; accept that once its last one has expired.
        val repeated = earlier != null &&
            status.sequence <= earlier.sequence &&
            now < earlier.publishedAt + settings.statusLifetime
        val zoneNewestAt = newestPublishedAt[status.zone]
        return repeated || (zoneNewestAt != null && publishedAt < zoneNewestAt)
    }

    private fun merge(
        current: GroupView?,
        next: GroupStatus,
        zone: ZoneStatus,
        publishedAt: Duration,
        now: Duration,
        settings: RouterSettings,
    ): GroupView {
        val fresh = GroupView(
            zone.zone,
            next,
            zone.observer,
            publishedAt,
            now,
            suspendedAt = now.takeIf { next.readiness != GroupReadiness.READY },
        )
        if (current == null || next.generation > current.status.generation) return fresh
        if (next.generation < current.status.generation || next.incarnation in current.retired) return current
        val replaced = listOf(current.status.incarnation).filter { it != next.incarnation }
        val retired = (current.retired + replaced).takeLast(MAXIMUM_RETIRED_INCARNATIONS)
        val suspendedSince = current.suspendedAt?.takeIf {
            next.readiness != GroupReadiness.READY ||
                (zone.observer != current.observer && now < it + settings.suspensionHold)
        }
        val observer =
            if (suspendedSince != null && next.readiness == GroupReadiness.READY) current.observer else zone.observer
        return fresh.copy(suspendedAt = suspendedSince ?: fresh.suspendedAt, retired = retired, observer = observer)
    }

    private companion object {
        /** Replaced incarnations kept for each group; a status from before more restarts than this has expired. */
        const val MAXIMUM_RETIRED_INCARNATIONS = 8

        /** How long the generation of an unlisted group is kept; far longer than a status can be delayed. */
        val GENERATION_RETENTION = RouterSettings().statusLifetime * 75
    }
}
