package redwingcross.request.service

import redwingcross.request.AttemptId
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.Outcome
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.slot.Slot
import kotlin.time.Duration

/** A call of a plain service as the caller sent it. */
class ServiceCall(
    val request: RequestId,
    val customer: Customer,
    val service: ServiceName,
    val method: String,
    /** Path below the service, with the query, starting with `/`. */
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    /** Set for calls that must not be repeated. */
    val key: IdempotencyKey?,
    /** Reading of the process clock after which the call must not be sent. */
    val deadline: Duration,
)

/** The whole answer of a plain service. */
class ServiceAnswer(val status: Int, val contentType: String?, val body: ByteArray)

/** Sends a call once to one slot and waits for the whole answer; it never resends. */
typealias DispatchOnce = suspend (Slot, ServiceCall, AttemptId) -> Outcome<ServiceAnswer>
