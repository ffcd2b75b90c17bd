package redwingcross.request.forward

import redwingcross.request.AttemptId
import redwingcross.request.Customer
import redwingcross.request.ModelName
import redwingcross.request.PromptPart
import redwingcross.request.RequestDigest
import redwingcross.request.RequestIdentity
import redwingcross.request.RequestTrait
import kotlin.time.Duration

/** Request of a caller, decoded from the HTTP request head. */
data class InboundRequest(
    val attempt: AttemptId,
    val method: String,
    val host: String,
    /** Path and query exactly as sent by the caller. */
    val target: String,
    /** How long the caller waits for the response, counted from the receipt of the head; null if not stated. */
    val callerTimeout: Duration?,
    /** API key of the caller; null if it sent none. */
    val credential: String?,
    /** Parameters for the model engine; null if the request is not for a model. */
    val generation: GenerationRequest?,
    /** Id of the last event that the caller has received; null to start the stream at its beginning. */
    val resumeAfter: Long? = null,
) {
    /** [target] without the query. */
    val path: String get() = target.substringBefore('?')

    /** What the end of an engine under this request of [customer] with [body] can be attributed to. */
    fun identity(customer: Customer?, body: ByteArray): RequestIdentity {
        val parts: Set<RequestTrait> = generation?.sharedParts.orEmpty().toSet()
        return RequestIdentity(attempt, parts + RequestDigest.of(method, target, customer, body))
    }
}

/** Parameters of a request to a model engine. */
data class GenerationRequest(
    val model: ModelName,
    /** Parts of the prompt, in order, without the last one, which belongs to the request itself or to its session. */
    val sharedParts: List<PromptPart> = emptyList(),
)

/** Whether and how a request can be retried, as configured for its route. */
enum class Repeatability {
    /** Can be run more than once. */
    IDEMPOTENT,

    /** Must run at most once for each attempt of the caller. */
    NON_IDEMPOTENT,

    /** Event stream that another engine can resume after the last complete event. */
    RESUMABLE_STREAM,

    /** Event stream that must run at most once. */
    SINGLE_STREAM,
    ;

    val isStream: Boolean get() = this == RESUMABLE_STREAM || this == SINGLE_STREAM

    /** Whether the request can be run again after it may have run. */
    val isRepeatable: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
