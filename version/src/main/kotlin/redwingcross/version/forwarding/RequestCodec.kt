package redwingcross.version.forwarding

import io.netty.handler.codec.http.HttpHeaders
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseHead
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.forward.InboundRequest
import kotlin.time.Duration

/** What this system adds to a request when it sends it to a back end. */
data class BackendRequestFields(
    val server: BackendServer,
    val customer: Customer?,
    /** Time after which the back end stops working on the request. */
    val timeLeft: Duration,
    /** 0 is served first. */
    val priority: Int,
    /** Id of the last event that the caller has. */
    val resumeAfter: Long?,
)

/** What the head of an answer says besides its status. */
data class ResponseMetadata(
    /** Whether the answer belongs to the request that awaits it. */
    val isForAttempt: Boolean,
    /** The back end states that it did not run the request. */
    val declined: Boolean,
    /** Another back end has the address now, or the engine is no head of a group. */
    val misdirected: Boolean,
    /** Whether the answer carries the back end's signature. */
    val signed: Boolean,
    /** Whether the body is encoded, which callers don't ask for. */
    val encoded: Boolean,
    /** How long the back end stays cold; null if it doesn't say. */
    val coldFor: Duration?,
    /** The engine that work was stalled by. */
    val faultyEngine: BackendServer?,
)

/** Reads and writes heads in the format of one front end; decisions know only the types above. */
class RequestCodec(
    /** Null if the head lacks what identifies a request. */
    val decode: (RequestHead) -> InboundRequest?,
    val encode: (RequestHead, InboundRequest, BackendRequestFields) -> RequestHead,
    val metadata: (InboundRequest, ResponseHead) -> ResponseMetadata,
    /** Headers of a refusal, with the time after which the caller may come back. */
    val refusal: (Duration?) -> HttpHeaders,
)
