package redwingcross.connection.engine

import kotlinx.serialization.Serializable
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm

/** Body of `GET /control/report` of a model engine. */
@Serializable
data class EngineReport(
    val vm: Vm,
    /** Changes each time the engine process starts. */
    val bootId: String,
    val uptimeMillis: Long,
    val group: GroupId? = null,
    /** Generation of the group; 0 while the engine only loads weights in order to replace a member later. */
    val generation: Long? = null,
    val rank: Int? = null,
    val ready: Boolean = false,
    val model: ServiceName? = null,
    val modelVersion: String? = null,
    /** Number of running requests. */
    val running: Int = 0,
    /** Number of queued requests. */
    val waiting: Int = 0,
    /** Highest fencing token that the engine has accepted. */
    val fencing: Long? = null,
    /** Milliseconds since the engine became ready; null if the engine does not report it. */
    val readyMillis: Long? = null,
)
