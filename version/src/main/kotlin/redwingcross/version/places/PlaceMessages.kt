package redwingcross.version.places

import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName

/** One start of a gateway; numbers and sequences begin anew with each start. */
data class GatewayStart(val node: ProcessName, val unixMillis: Long)

/** Identifies a request for a place among those of one start of a gateway. */
@JvmInline
value class PlaceNumber(val value: Long) {
    override fun toString(): String = value.toString()
}

/** Groups of one kind can run the same requests. */
data class PlaceKind(val service: ServiceName, val model: ModelName)

/** What a gateway needs a place for. */
data class PlaceRequest(
    val kind: PlaceKind,
    /** Heads of groups that the request was sent to before. */
    val excluded: Set<BackendServer> = emptySet(),
    /** Whether the request was sent before, so that refusing it would lose work. */
    val isResuming: Boolean = false,
    /** 0 is the most urgent. */
    val priority: Int = 0,
)

/**
 * What a gateway tells the owner of the places. Each report has the complete state of the gateway, so that a lost one
 * makes no lasting difference.
 */
data class PlaceReport(
    val gateway: GatewayStart,
    /** Orders the reports of one start of a gateway, and is the number of the place that [request] asks for. */
    val sequence: Long,
    /** Requests of the gateway in flight, by the head of their group. */
    val held: Map<BackendServer, Int>,
    /** Numbers of the places that the gateway has asked for and still needs, or was granted and has not used yet. */
    val open: Set<PlaceNumber>,
    /** Null if the gateway reports only that places came free. */
    val request: PlaceRequest? = null,
)

/** Answer of the owner to a request for a place. */
sealed interface PlaceAnswer {
    val number: PlaceNumber

    /** A slot of the group led by [head] is reserved for the request. */
    data class Granted(override val number: PlaceNumber, val head: BackendServer) : PlaceAnswer

    /** No group has a free slot; the owner grants the place when one comes free. */
    data class Queued(override val number: PlaceNumber) : PlaceAnswer

    /** The owner knows no group of the kind that it could grant; the gateway decides by itself. */
    data class Declined(override val number: PlaceNumber) : PlaceAnswer
}
