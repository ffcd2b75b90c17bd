package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** Start time of an engine process in Unix milliseconds; distinguishes successive starts under the same id. */
@JvmInline
value class EngineStart(val unixMillis: Long) {
    /** Whether this start is known to be after [other]; an engine may not state its start. */
    fun isAfter(other: EngineStart?): Boolean = other != null && unixMillis > other.unixMillis
}

/** Number of orders that an engine has accepted since its start. */
@JvmInline
value class OrderCount(val value: Long) : Comparable<OrderCount> {
    override fun compareTo(other: OrderCount): Int = value.compareTo(other.value)
}

/** Identifies one formation of a group; increases with every group that is formed. */
@JvmInline
value class GroupEpoch(val value: Long) : Comparable<GroupEpoch> {
    override fun compareTo(other: GroupEpoch): Int = value.compareTo(other.value)
}

/** Lifecycle phase of a group member, as the engine reports it. */
enum class MemberPhase { JOINING, READY, OPEN, CLOSING, BROKEN }

/** An engine's membership in a group, as the engine reports it. */
data class GroupMembership(
    val group: GroupId,
    val epoch: GroupEpoch,
    /** Position in the group from 0; the member of rank 0 is the head, which receives the requests. */
    val rank: Int,
    val phase: MemberPhase,
) {
    val isHead: Boolean get() = rank == 0
}

/** State of a back end, from the platform's list or from the back end's own report. */
data class EngineStatus(
    val id: BackendServer,
    val service: ServiceName,
    val address: Endpoint,
    val zone: AvailabilityZone,
    val slots: Int,
    /** Whether the back end is about to leave and accepts no new work. */
    val draining: Boolean,
    /** Remaining time for which the back end is cold, as of the observation; zero if it is warm. */
    val coldRemaining: Duration,
    val start: EngineStart?,
    val domain: FabricDomain?,
    /** Models whose weights are loaded onto the host. */
    val staged: List<ModelName>,
    /** Null if the engine is in no group. */
    val membership: GroupMembership?,
)

/** An engine's response to a direct request for its state. */
data class EngineReport(
    val start: EngineStart?,
    val orders: OrderCount,
    /** Models whose weights are loaded onto the host; null if the report does not state them. */
    val staged: List<ModelName>?,
    val membership: GroupMembership?,
)
