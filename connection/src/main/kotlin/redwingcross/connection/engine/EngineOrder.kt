package redwingcross.connection.engine

import kotlinx.serialization.Serializable
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm

/** Body of `POST /control/orders` of a model engine. */
@Serializable
data class EngineOrder(
    /** Lease epoch of the sender; engines that check it refuse a token lower than the highest they accepted. */
    val fencing: Long,
    val group: GroupId,
    /** 0 with no [members] means: load the weights of [rank], but belong to no group. */
    val generation: Long,
    val rank: Int,
    val members: List<OrderedMember>,
    val model: ServiceName,
    val modelVersion: String,
)

/** A member of a group by rank, with the endpoint of its engine (`address:port`). */
@Serializable
data class OrderedMember(val vm: Vm, val address: String)

/** Body of a 409 answer to an order. */
@Serializable
data class FencingRefusal(val highest: Long)
