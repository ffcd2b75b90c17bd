package redwingcross.version.placement

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Identifies one start of a model engine process. */
@Serializable
@JvmInline
value class BootId(val value: String) {
    override fun toString(): String = value
}

/** Whether a group can serve requests. */
@Serializable
enum class GroupReadiness { READY, LOADING, SUSPENDED }

/** What the observer of a zone publishes about one group. */
@Serializable
data class GroupStatus(
    val group: GroupId,
    val generation: Generation,
    val model: ServiceName,
    val leader: Vm,
    val leaderEndpoint: Endpoint,
    val members: List<Vm>,
    val readiness: GroupReadiness,
    /** Boot id of the leader; when it changes, the group starts cold again. */
    val incarnation: BootId,
    /** Lower bound of the time since this incarnation became ready, as of the publication of the status. */
    val readyFor: Duration,
    /** Why the group is not ready, for operators; empty if it is ready. */
    val reason: String = "",
)

/** Status of all groups of a zone from one observer; [sequence] orders the statuses of one observer. */
@Serializable
data class ZoneStatus(
    val zone: AvailabilityZone,
    val observer: ProcessName,
    val sequence: Long,
    val groups: List<GroupStatus>,
    /** Epoch of the zone's lease if the observer holds it, so that standbys need not read the lease; null otherwise. */
    val holder: LeaseEpoch? = null,
)
