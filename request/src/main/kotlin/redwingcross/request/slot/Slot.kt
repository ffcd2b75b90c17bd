package redwingcross.request.slot

import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.GroupId
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import kotlin.time.Duration

/** Identifies one admitted place at a backend server; it is given back exactly once. */
@JvmInline
value class SlotId(val value: Long)

/** What a request needs from the router. */
data class SlotRequest(
    val request: RequestId,
    val customer: Customer,
    val service: ServiceName,
    /** A larger number is served first among the requests of one customer. */
    val priority: Int,
    /** Bytes that the back end will hold for this request. */
    val heldBytes: Long,
    /** Reading of the process clock after which the request is refused. */
    val deadline: Duration,
    /** Servers that already failed this request. */
    val excluded: Set<BackendServer> = emptySet(),
)

/** A place at a backend server. For a serving group [server] is its leader. */
data class Slot(
    val id: SlotId,
    val server: BackendServer,
    /** IP address and port, written `address:port`. */
    val endpoint: String,
    val group: GroupId? = null,
    val generation: Long? = null,
    /** Boot id that the answer must carry; null for a plain service. */
    val incarnation: String? = null,
)

/** The router's answer to a [SlotRequest]. */
sealed interface SlotAnswer {
    data class Granted(val slot: Slot) : SlotAnswer

    /** Nothing was sent; [retryAfter] is a hint for the caller. */
    data class Refused(val reason: NotRunReason, val retryAfter: Duration) : SlotAnswer
}

/** What the router learns when a slot is given back. */
sealed interface SlotResult {
    /** The back end answered; [firstByte] is the time from dispatch to the first byte of the answer. */
    data class Served(val firstByte: Duration, val incarnation: String?) : SlotResult

    /** Nothing was sent, for example because the deadline passed. */
    data object Unused : SlotResult

    /** The connection failed, went silent or broke off. */
    data class Failed(val detail: String) : SlotResult

    /** The back end refused: another group, generation or boot id than the router believed, or overload. */
    data class Rejected(val status: Int, val incarnation: String?) : SlotResult
}

/** Waits in the customer's queue for a slot. */
typealias AcquireSlot = suspend (SlotRequest) -> SlotAnswer

/** Gives a slot back; called exactly once for each granted slot. */
typealias ReleaseSlot = (SlotId, SlotResult) -> Unit

/**
 * Repeats the checks of admission immediately before the first byte is sent: the view is fresh and the slot's server
 * is still eligible. False means that the request must not be sent to this slot.
 */
typealias ConfirmDispatch = (SlotId) -> Boolean

/** The router as seen by a request. */
class SlotSource(val acquire: AcquireSlot, val confirm: ConfirmDispatch, val release: ReleaseSlot)
