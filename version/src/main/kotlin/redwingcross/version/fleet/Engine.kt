package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** Distinguishes starts of an engine that keeps its id: Unix milliseconds of the start. */
@JvmInline
value class EngineStart(val unixMillis: Long)

/** Orders that an engine has accepted since its start. */
@JvmInline
value class OrderCount(val value: Long) : Comparable<OrderCount> {
    override fun compareTo(other: OrderCount): Int = value.compareTo(other.value)
}

/** Identifies one membership of engines in a group; rises with every group that is formed. */
@JvmInline
value class GroupEpoch(val value: Long) : Comparable<GroupEpoch> {
    override fun compareTo(other: GroupEpoch): Int = value.compareTo(other.value)
}

/** How far a member of a group is. */
enum class MemberPhase { JOINING, READY, OPEN, CLOSING, BROKEN }

/** The group that an engine reports to be in. */
data class GroupMembership(
    val group: GroupId,
    val epoch: GroupEpoch,
    /** 0 is the head, which receives the requests. */
    val rank: Int,
    val phase: MemberPhase,
) {
    val isHead: Boolean get() = rank == 0
}

/** A back end as it describes itself, in the platform's list or in a report. */
data class EngineStatus(
    val id: BackendServer,
    val service: ServiceName,
    val address: Endpoint,
    val zone: AvailabilityZone,
    val slots: Int,
    /** The back end leaves soon and takes no new work. */
    val draining: Boolean,
    /** How much longer it is cold, at the time of the observation. */
    val coldRemaining: Duration,
    val start: EngineStart?,
    val domain: FabricDomain?,
    val staged: List<ModelName>,
    val membership: GroupMembership?,
)

/** What an engine says in answer to a direct question. */
data class EngineReport(
    val start: EngineStart?,
    val orders: OrderCount,
    val staged: List<ModelName>?,
    val membership: GroupMembership?,
)
