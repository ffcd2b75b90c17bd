package redwingcross.request.slot

import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.GroupId
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import kotlin.time.Duration

/** Identifies a granted [Slot], which must be released exactly once. */
@JvmInline
value class SlotId(val value: Long)

/** Request to the router for a [Slot]. */
data class SlotRequest(
    val request: RequestId,
    val customer: Customer,
    val service: ServiceName,
    /** Priority among the requests of the same customer; larger numbers are served first. */
    val priority: Int,
    /** Number of bytes that the back end holds in memory for this request. */
    val heldBytes: Long,
    /** Reading of the process clock at which the request is refused if it is still waiting. */
    val deadline: Duration,
    /** Servers at which an attempt of this request has already failed. */
    val excluded: Set<BackendServer> = emptySet(),
)

/** Permission to run one request at a back-end server. For a serving group, [server] is the leader of the group. */
data class Slot(
    val id: SlotId,
    val server: BackendServer,
    /** IP address and port in the form `address:port`. */
    val endpoint: String,
    /** Serving group; null for a plain service. */
    val group: GroupId? = null,
    /** Generation of [group]; null for a plain service. */
    val generation: Long? = null,
    /** Boot id that the response must contain; null for a plain service. */
    val incarnation: String? = null,
)

/** Result of a [SlotRequest]. */
sealed interface SlotAnswer {
    /** The request may be sent to the server of [slot]. */
    data class Granted(val slot: Slot) : SlotAnswer

    /** No slot was granted. [retryAfter] is a hint for the caller. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : SlotAnswer
}

/** Result of an attempt, reported to the router when its slot is released. */
sealed interface SlotResult {
    /** The back end responded. [firstByte] is the time from dispatch to the first byte of the response. */
    data class Served(val firstByte: Duration, val incarnation: String?) : SlotResult

    /** Nothing was sent, for example because the deadline had passed. */
    data object Unused : SlotResult

    /** The connection failed, timed out or was closed before the response was complete. */
    data class Failed(val detail: String) : SlotResult

    /** The back end refused: its group, generation or boot id differs from the router's view, or it is overloaded. */
    data class Rejected(val status: Int, val incarnation: String?) : SlotResult
}

/** Waits in the queue of the customer until a slot is granted or refused. */
typealias AcquireSlot = suspend (SlotRequest) -> SlotAnswer

/** Releases a slot. Must be called exactly once for each granted slot. */
typealias ReleaseSlot = (SlotId, SlotResult) -> Unit

/**
 * Repeats the admission checks immediately before the first byte is sent: the router's view is fresh and the server of
 * the slot is still eligible. If it returns false, the request must not be sent to the server of this slot.
 */
typealias ConfirmDispatch = (SlotId) -> Boolean

/** Functions of the router that a request uses. */
class SlotSource(val acquire: AcquireSlot, val confirm: ConfirmDispatch, val release: ReleaseSlot)
