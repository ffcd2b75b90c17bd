package redwingcross.version.placement

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.FabricDomain

/** Rises each time the members of a group change. */
@Serializable
@JvmInline
value class Generation(val value: Long) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Rises each time a zone's lease passes to another holder; the fencing number of orders. */
@Serializable
@JvmInline
value class LeaseEpoch(val value: Long) : Comparable<LeaseEpoch> {
    override fun compareTo(other: LeaseEpoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The VMs that together hold one replica; the first member is the leader, which takes the requests. */
@Serializable
data class ServingGroup(
    val group: GroupId,
    val generation: Generation,
    val model: ServiceName,
    val modelVersion: String,
    val fabricDomain: FabricDomain,
    val members: List<Vm>,
    /** A VM that loads the weights so that it can replace the member mapped to it without a break. */
    val preparing: Map<Vm, Vm> = emptyMap(),
) {
    /** The member that takes the requests. */
    val leader: Vm get() = members.first()
}

/** The value of the platform object `placement/{zone}`: every serving group of one availability zone. */
@Serializable
data class Placement(
    val zone: AvailabilityZone,
    val epoch: LeaseEpoch,
    val groups: List<ServingGroup>,
    val nonce: String,
    /** Number of the next new group; it only rises, so that a group id is never used for two groups. */
    val nextGroup: Long = 1,
)
