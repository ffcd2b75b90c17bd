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

/** Whether a group may be given work. */
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
    /** Boot id of the leader; a group with another one has not served yet. */
    val incarnation: BootId,
    /** Lower bound of the time since this incarnation became ready, when the status was published. */
    val readyFor: Duration,
    /** Why the group is not ready, for operators; empty when it is. */
    val reason: String = "",
)

/** Every group of a zone as one observer sees it; statuses of one observer are ordered by [sequence]. */
@Serializable
data class ZoneStatus(
    val zone: AvailabilityZone,
    val observer: ProcessName,
    val sequence: Long,
    val groups: List<GroupStatus>,
    /** Set while the observer also holds the zone's lease, so that standbys need not read the lease. */
    val holder: LeaseEpoch? = null,
)
