package redwingcross.request.service

import redwingcross.request.AttemptId
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.Outcome
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.slot.Slot
import kotlin.time.Duration

/** Call of a plain service, as sent by the caller. */
class ServiceCall(
    val request: RequestId,
    val customer: Customer,
    val service: ServiceName,
    val method: String,
    /** Path below the service, including the query; starts with `/`. */
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    /** Idempotency key; set for calls that must run at most once, otherwise null. */
    val key: IdempotencyKey?,
    /** Reading of the process clock from which on the call must not be sent. */
    val deadline: Duration,
)

/** Complete response of a plain service. */
class ServiceAnswer(val status: Int, val contentType: String?, val body: ByteArray)

/** Sends a call to the server of a slot and waits for the complete response. It never sends the call again. */
typealias DispatchOnce = suspend (Slot, ServiceCall, AttemptId) -> Outcome<ServiceAnswer>
