package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.version.placement.BootId
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration

/** The newest accepted status of one group. Times are readings of the process clock. */
data class GroupView(
    val zone: AvailabilityZone,
    val status: GroupStatus,
    val observer: ProcessName,
    /** When the observer published the status, as far as its age is known. */
    val publishedAt: Duration,
    val receivedAt: Duration,
    /** When the present suspension was first heard of; null while the group is ready. */
    val suspendedAt: Duration? = null,
    /** Incarnations of the present generation that were replaced; a late status must not bring one back. */
    val retired: List<BootId> = emptyList(),
) {
    /** Lower bound of the time for which the incarnation has been ready. */
    fun readyFor(now: Duration): Duration = status.readyFor + (now - receivedAt)

    /** Reading of the process clock before which the incarnation was not ready, if statuses lag by at most [lag]. */
    fun notReadyBefore(lag: Duration): Duration = publishedAt - status.readyFor - lag

    /** Whether the group may be given work at [now], as far as its observer knows. */
    fun isReady(now: Duration, lifetime: Duration): Boolean =
        suspendedAt == null && status.readiness == GroupReadiness.READY && now < publishedAt + lifetime
}

/** The newest status of a zone that was accepted from one observer. */
data class ObservedZone(val sequence: Long, val publishedAt: Duration)

/**
 * The statuses of all groups. The newest status of a zone wins, except that a group never returns to an older
 * generation or incarnation and that a suspension holds for a while against other observers.
 */
data class GroupStatuses(
    val groups: Map<GroupId, GroupView> = emptyMap(),
    private val observed: Map<Pair<AvailabilityZone, ProcessName>, ObservedZone> = emptyMap(),
    private val newest: Map<AvailabilityZone, Duration> = emptyMap(),
) {
    /** Takes over a [status] that was published at [publishedAt], unless it is outdated. */
    fun receive(status: ZoneStatus, publishedAt: Duration, now: Duration, settings: RouterSettings): GroupStatuses {
        val source = status.zone to status.observer
        if (isOutdated(status, publishedAt, now, settings)) return this
        val listed = status.groups.associate { next ->
            next.group to merge(groups[next.group], next, status, publishedAt, now, settings)
        }
        val gone = groups.filter { (group, view) -> view.zone == status.zone && group !in listed }
            .filterValues { now < it.receivedAt + GENERATION_MEMORY }
            .mapValues { (_, view) -> view.copy(suspendedAt = view.suspendedAt ?: now, observer = status.observer) }
        val elsewhere = groups.filterValues { it.zone != status.zone }
        return GroupStatuses(
            elsewhere + gone + listed,
            observed + (source to ObservedZone(status.sequence, publishedAt)),
            newest + (status.zone to publishedAt),
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
        // A restarted observer counts from the start again, which is accepted once its earlier status has expired.
        val repeated = earlier != null &&
            status.sequence <= earlier.sequence &&
            now < earlier.publishedAt + settings.statusLifetime
        val newestAt = newest[status.zone]
        return repeated || (newestAt != null && publishedAt < newestAt)
    }

    private fun merge(
        held: GroupView?,
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
        if (held == null || next.generation > held.status.generation) return fresh
        if (next.generation < held.status.generation || next.incarnation in held.retired) return held
        val replaced = listOf(held.status.incarnation).filter { it != next.incarnation }
        val retired = (held.retired + replaced).takeLast(RETIRED_INCARNATIONS)
        val heldSince = held.suspendedAt?.takeIf {
            next.readiness != GroupReadiness.READY ||
                (zone.observer != held.observer && now < it + settings.suspensionHold)
        }
        val observer = if (heldSince != null && next.readiness == GroupReadiness.READY) held.observer else zone.observer
        return fresh.copy(suspendedAt = heldSince ?: fresh.suspendedAt, retired = retired, observer = observer)
    }

    private companion object {
        /** Incarnations remembered for each group; a status that is late by more restarts has long expired. */
        const val RETIRED_INCARNATIONS = 8

        /** Time for which a group that is no longer listed keeps its generation, far beyond any delay of a status. */
        val GENERATION_MEMORY = RouterSettings().statusLifetime * 75
    }
}
