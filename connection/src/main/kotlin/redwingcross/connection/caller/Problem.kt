package redwingcross.connection.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.NotRunReason
import redwingcross.request.idempotency.EarlierAttempts
import kotlin.time.Duration

/** Problem document (RFC 9457), sent as `application/problem+json`. */
@Serializable
internal data class Problem(
    val title: String,
    val status: Int,
    val detail: String,
    /** The header, path or field that is invalid; empty if the request is valid. */
    val place: String = "",
    /** True only if no byte of this attempt was sent to a back end. */
    val notRun: Boolean = true,
    /**
     * Whether earlier attempts with the same idempotency key may have run: `none` or `unknown`. It is `none` only if
     * the key's record was read or the request has no key.
     */
    val earlierAttempts: String = "unknown",
    val requestId: String = "",
    val type: String = "about:blank",
    /** True if an earlier attempt completed, but its response is no longer available. */
    val completed: Boolean = false,
)

private val problemJson = Json { encodeDefaults = true }

internal fun Problem.toResponse(retryAfter: Duration? = null): Response = Response(Status(status, title))
    .header("Content-Type", "application/problem+json")
    .header("Retry-After", retryAfter?.roundedUpSeconds()?.toString())
    .body(problemJson.encodeToString(this))

private fun Duration.roundedUpSeconds(): Long = (inWholeMilliseconds + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

private const val MILLIS_PER_SECOND = 1000

internal object ProblemStatus {
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val TOO_LARGE = 413
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val INTERNAL_ERROR = 500
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}

/** The problem of an invalid request, with the fault at [place]; nothing was sent to a back end. */
internal fun invalidRequest(place: String, detail: String, status: Int = ProblemStatus.BAD_REQUEST): Problem =
    Problem(title = "Invalid request", status = status, detail = detail, place = place)

/** The problem of a request that was refused before any byte was sent to a back end. */
internal fun notRun(reason: NotRunReason, earlier: EarlierAttempts = EarlierAttempts.NONE): Problem = Problem(
    title = "Not run",
    status = reason.status(),
    detail = reason.detail(earlier),
    earlierAttempts = earlier.name.lowercase(),
)

private fun NotRunReason.status(): Int = when (this) {
    NotRunReason.INVALID_REQUEST -> ProblemStatus.BAD_REQUEST
    NotRunReason.QUEUE_FULL -> ProblemStatus.TOO_MANY_REQUESTS
    else -> ProblemStatus.UNAVAILABLE
}

private fun NotRunReason.detail(earlier: EarlierAttempts): String {
    val cause = when (this) {
        NotRunReason.INVALID_REQUEST -> "the request is not valid"
        NotRunReason.QUEUE_FULL -> "the customer's queue is full"
        NotRunReason.DEADLINE_EXCEEDED -> "the deadline passed before the request could be sent"
        NotRunReason.NO_BACKEND_SERVER -> "no back end can take the request"
        NotRunReason.STALE_VIEW -> "this gateway's view of the system is not fresh"
        NotRunReason.PLATFORM_UNAVAILABLE -> "the platform does not answer"
        NotRunReason.CONNECT_FAILED -> "no connection to a back end could be established"
        NotRunReason.SHUTTING_DOWN -> "this gateway is shutting down"
    }
    return when (earlier) {
        EarlierAttempts.NONE -> "$cause; the request was not run"
        EarlierAttempts.UNKNOWN -> "$cause; this attempt was not run, an earlier attempt with this key may have run"
    }
}
