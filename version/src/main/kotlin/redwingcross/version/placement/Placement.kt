package redwingcross.version.placement

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.FabricDomain

/** Increases each time the members or the model version of a group change. */
@Serializable
@JvmInline
value class Generation(val value: Long) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Increases each time a zone's lease is acquired by another holder; the fencing token of orders. */
@Serializable
@JvmInline
value class LeaseEpoch(val value: Long) : Comparable<LeaseEpoch> {
    override fun compareTo(other: LeaseEpoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The VMs that together hold one replica of a model; the first member is the leader, which receives the requests. */
@Serializable
data class ServingGroup(
    val group: GroupId,
    val generation: Generation,
    val model: ServiceName,
    val modelVersion: String,
    val fabricDomain: FabricDomain,
    val members: List<Vm>,
    /** Spares that load weights to replace members without interruption: member to spare. */
    val preparing: Map<Vm, Vm> = emptyMap(),
) {
    /** The member that receives the requests. */
    val leader: Vm get() = members.first()
}

/** The value of the platform object `placement/{zone}`: all serving groups of an availability zone. */
@Serializable
data class Placement(
    val zone: AvailabilityZone,
    val epoch: LeaseEpoch,
    val groups: List<ServingGroup>,
    /** Identifies the write, so that its writer recognises it after a lost answer. */
    val nonce: String,
    /** Number of the next new group; it never decreases, so that a group id is never used for two groups. */
    val nextGroup: Long = 1,
)
