package redwingcross.connection.engine

import kotlinx.serialization.Serializable
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm

/** Body of `POST /control/orders` of a model engine. */
@Serializable
data class EngineOrder(
    /**
     * Lease epoch of the sender. Engines that check fencing refuse orders below the highest token they have accepted.
     */
    val fencing: Long,
    val group: GroupId,
    /**
     * Generation of the group. With 0 and no [members] the engine only loads the weights of [rank] and joins no group.
     */
    val generation: Long,
    /** Rank of the receiving engine in the group. */
    val rank: Int,
    val members: List<OrderedMember>,
    val model: ServiceName,
    val modelVersion: String,
)

/** A member of a group by rank, with the endpoint of its engine (`address:port`). */
@Serializable
data class OrderedMember(val vm: Vm, val address: String)

/** Body of a 409 response to an order; [highest] is the highest fencing token that the engine has accepted. */
@Serializable
data class FencingRefusal(val highest: Long)
