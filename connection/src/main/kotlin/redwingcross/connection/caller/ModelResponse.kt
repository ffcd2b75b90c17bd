package redwingcross.connection.caller

import kotlinx.coroutines.Deferred
import org.http4k.core.Response
import redwingcross.request.RequestId
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.CallerLoss
import redwingcross.request.model.IncompleteCause
import redwingcross.request.model.ModelRequestResult

/** Receives the output of a model request. A [CallerLoss] that a function returns ends the request. */
internal class ModelOutput(
    /** Suspends until the caller's mailbox has accepted the token. */
    val deliver: suspend (AnswerToken) -> CallerLoss?,
    /** Sends a keep-alive to the caller, if the response is streamed. */
    val keepAlive: suspend () -> CallerLoss?,
    /** Called once, after the request's last slot was released or passed to the task that releases it. */
    val finish: suspend (ModelRequestResult) -> Unit,
)

/**
 * The response of a model request, passed from the request's task ([output], [fail]) to the worker thread that writes
 * to the caller ([await]).
 */
internal class ModelResponse(
    val output: ModelOutput,
    /** Completed when the writing side detects that the caller disconnected. */
    val callerLoss: Deferred<CallerLoss>,
    /** Ends the response after an unexpected failure of the request's task. */
    val fail: (Throwable) -> Unit,
    /** Blocks until the response can start: at the first output if it is streamed, otherwise at the end. */
    val await: () -> Response,
)

/** The problem document of a request that ended before any output. */
internal fun ModelRequestResult.toResponse(id: RequestId): Response = when (this) {
    is ModelRequestResult.Refused -> notRun(reason).copy(requestId = id.value).toResponse(retryAfter)
    else -> toProblem(id).toResponse()
}

/** The problem document of a request that was sent to a back end and ended without a complete response. */
internal fun ModelRequestResult.toProblem(id: RequestId): Problem = Problem(
    title = "Answer incomplete",
    status = when (this) {
        is ModelRequestResult.Incomplete -> cause.status()
        else -> ProblemStatus.BAD_GATEWAY
    },
    detail = when (this) {
        is ModelRequestResult.Incomplete -> detail
        is ModelRequestResult.Abandoned -> reason.detail()
        else -> "the request ended without an answer"
    },
    notRun = false,
    requestId = id.value,
)

private fun IncompleteCause.status(): Int = when (this) {
    IncompleteCause.DEADLINE -> ProblemStatus.GATEWAY_TIMEOUT
    IncompleteCause.BACKENDS_FAILED -> ProblemStatus.BAD_GATEWAY
    IncompleteCause.NO_SLOT -> ProblemStatus.UNAVAILABLE
}

private fun CallerLoss.detail(): String = when (this) {
    CallerLoss.GONE -> "the caller has gone"
    CallerLoss.STALLED -> "the caller did not take the answer"
    CallerLoss.ANSWER_TOO_LARGE -> "the answer is too large to be collected; request it as a stream"
}
