package redwingcross.version.forwarding

import io.netty.handler.codec.http.HttpHeaders
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseHead
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.forward.InboundRequest
import kotlin.time.Duration

/** Fields that the gateway adds to a request for a back end. */
data class BackendRequestFields(
    val server: BackendServer,
    val customer: Customer?,
    /** Time until the deadline, after which the back end stops working on the request. */
    val timeLeft: Duration,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Id of the last event that was sent to the caller; null to pass on what the caller stated. */
    val resumeAfter: Long?,
)

/** Metadata from the head of a response, besides its status. */
data class ResponseMetadata(
    /** Whether the response belongs to the request that awaits it. */
    val isForAttempt: Boolean,
    /** Whether the response certainly belongs to the request; if not, it may belong to an earlier one. */
    val isIdentified: Boolean,
    /** Whether the back end states that it did not run the request. */
    val declined: Boolean,
    /** Whether callers take the status for a promise that the request was not run. */
    val promisesNotRun: Boolean,
    /** Whether the address now belongs to another back end, or the engine is not the head of a group. */
    val misdirected: Boolean,
    /** Whether the response carries the back end's signature. */
    val signed: Boolean,
    /** Whether the body has a content encoding; callers never accept one. */
    val encoded: Boolean,
    /** Time for which the back end will remain cold; null if the response does not state it. */
    val coldFor: Duration?,
    /** The engine that stalled the work; null if the response does not name one. */
    val faultyEngine: BackendServer?,
)

/** Reads and writes HTTP heads in the format of one front end, so that the decisions do not depend on it. */
class RequestCodec(
    /** Returns null if the head does not contain the identification of a request. */
    val decode: (RequestHead) -> InboundRequest?,
    val encode: (RequestHead, InboundRequest, BackendRequestFields) -> RequestHead,
    val metadata: (InboundRequest, ResponseHead) -> ResponseMetadata,
    /** Headers of a refusal; the argument is the delay after which the caller may retry, or null. */
    val refusal: (Duration?) -> HttpHeaders,
)
