package redwingcross.request.forward

import redwingcross.request.AttemptId
import redwingcross.request.ModelName
import kotlin.time.Duration

/** What a caller asks for, decoded from its request head. */
data class InboundRequest(
    val attempt: AttemptId,
    val method: String,
    val host: String,
    /** Path and query exactly as the caller sent them. */
    val target: String,
    /** How long the caller waits from the moment at which the head arrived; null if it did not say. */
    val callerTimeout: Duration?,
    /** The key of the caller; null if it sent none. */
    val credential: String?,
    /** Present on requests to model engines. */
    val generation: GenerationRequest?,
) {
    /** [target] without the query. */
    val path: String get() = target.substringBefore('?')
}

/** The part of a request that a model engine works on. */
data class GenerationRequest(
    val model: ModelName,
    /** Id of the last event that the caller has; null for a stream from its start. */
    val resumeAfter: Long?,
)

/** What may be repeated, from the kind of the route. */
enum class Repeatability {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,

    /** A stream of events that may go on at another engine after the last complete event. */
    RESUMABLE_STREAM,

    /** A stream of events that runs at most once. */
    SINGLE_STREAM,
    ;

    val isStream: Boolean get() = this == RESUMABLE_STREAM || this == SINGLE_STREAM

    /** Whether a second run is harmless. */
    val isRepeatable: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
