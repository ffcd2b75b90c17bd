package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.placement.LeaseEpoch

/** A group to which requests can be sent. */
data class ServingGroup(
    val id: GroupId,
    val epoch: GroupEpoch,
    val service: ServiceName,
    val model: ModelName,
    val head: BackendServer,
)

/** Group names contain the model, so that processes that did not form a group can derive the model that it serves. */
object GroupNames {
    private const val SEPARATOR = '.'

    /** Name of a new group. Controllers of two leases may use the same group epoch, so it contains the lease epoch. */
    fun compose(model: ModelName, lease: LeaseEpoch, epoch: GroupEpoch): GroupId =
        GroupId("${model.value}$SEPARATOR${lease.value}-${epoch.value}")

    /** The model in a group's name; null if the name does not have the form made by [compose]. */
    fun model(id: GroupId): ModelName? =
        id.value.substringBeforeLast(SEPARATOR, "").takeIf { it.isNotEmpty() }?.let(::ModelName)
}

/** Engines that report the same group and epoch, sorted by rank. */
data class ReportedGroup(val id: GroupId, val epoch: GroupEpoch, val members: List<TrackedEngine>) {
    val head: TrackedEngine? get() = members.firstOrNull { it.status.membership?.isHead == true }

    /** Whether each rank from 0 until [size] is present exactly once. */
    fun isComplete(size: Int): Boolean =
        members.size == size && members.withIndex().all { (rank, member) -> member.status.membership?.rank == rank }
}

/** All groups of which engines of [service] report that they are members. */
fun EngineTable.reportedGroups(service: ServiceName): List<ReportedGroup> = engines.values
    .filter { it.status.service == service && it.status.membership != null }
    .groupBy { it.status.membership!!.group to it.status.membership.epoch }
    .map { (key, members) ->
        ReportedGroup(key.first, key.second, members.sortedBy { it.status.membership?.rank })
    }

/**
 * Groups with an open head whose members are all present, unbroken and accept new work. A head is opened only after
 * every member reported that it is ready under the group's name and epoch, so an open head proves that the group was
 * complete.
 */
fun EngineTable.servingGroups(service: ServiceSpec): List<ServingGroup> {
    val pool = service.pool ?: return emptyList()
    return reportedGroups(service.name).mapNotNull { group ->
        val model = GroupNames.model(group.id) ?: return@mapNotNull null
        val spec = pool.models.firstOrNull { it.name == model } ?: return@mapNotNull null
        val head = group.head ?: return@mapNotNull null
        val serves = head.status.membership?.phase == MemberPhase.OPEN &&
            group.isComplete(spec.groupSize) &&
            group.members.none { it.status.membership?.phase == MemberPhase.BROKEN } &&
            group.members.all { acceptsWork(it) }
        if (!serves) return@mapNotNull null
        ServingGroup(
            id = group.id,
            epoch = group.epoch,
            service = service.name,
            model = model,
            head = head.id,
        )
    }
}
