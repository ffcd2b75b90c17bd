package redwingcross.connection.caller

import org.http4k.core.Response
import redwingcross.request.NotRunReason
import kotlin.time.Duration.Companion.seconds

/** Reason why the server refuses a request itself, without a response of the handler. */
internal enum class ServerRefusal { BODY_TOO_LARGE, BODY_BROKEN, TOO_MANY_EXCHANGES, SHUTTING_DOWN, HANDLER_FAILED }

/** The problem document for the refusal. */
internal fun ServerRefusal.toResponse(): Response = when (this) {
    ServerRefusal.BODY_TOO_LARGE ->
        invalidRequest("body", "the body is larger than the limit", ProblemStatus.TOO_LARGE).toResponse()
    ServerRefusal.BODY_BROKEN -> invalidRequest("body", "the body could not be read").toResponse()
    ServerRefusal.TOO_MANY_EXCHANGES -> Problem(
        title = "Not run",
        status = ProblemStatus.UNAVAILABLE,
        detail = "this gateway serves its largest number of requests; the request was not run",
    ).toResponse(retryAfter)
    ServerRefusal.SHUTTING_DOWN -> notRun(NotRunReason.SHUTTING_DOWN).toResponse(retryAfter)
    ServerRefusal.HANDLER_FAILED -> Problem(
        title = "Internal error",
        status = ProblemStatus.INTERNAL_ERROR,
        detail = "the request failed in this gateway; it may have run",
        notRun = false,
        earlierAttempts = "unknown",
    ).toResponse()
}

private val retryAfter = 1.seconds
