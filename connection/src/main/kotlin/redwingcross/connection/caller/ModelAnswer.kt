package redwingcross.connection.caller

import kotlinx.coroutines.Deferred
import org.http4k.core.Response
import redwingcross.request.RequestId
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.CallerLoss
import redwingcross.request.model.IncompleteCause
import redwingcross.request.model.ModelRequestResult

/** Where a model request's answer goes. A loss returned by a function ends the request. */
internal class ModelOutput(
    /** Waits until the caller's mailbox has taken the token. */
    val deliver: suspend (AnswerToken) -> CallerLoss?,
    val keepAlive: suspend () -> CallerLoss?,
    /** Called once, after the request's last slot was given back or handed over for that. */
    val finish: suspend (ModelRequestResult) -> Unit,
)

/** One answer on its way from the task of the request ([output], [fail]) to the caller's worker thread ([await]). */
internal class ModelAnswer(
    val output: ModelOutput,
    /** Completed when the caller's side finds that the caller has gone. */
    val callerLoss: Deferred<CallerLoss>,
    /** Ends the answer after an unexpected failure of the request's task. */
    val fail: (Throwable) -> Unit,
    /** Blocks until the head of the response is known. */
    val await: () -> Response,
)

/** The problem document of a request that ended before any output. */
internal fun ModelRequestResult.toResponse(id: RequestId): Response = when (this) {
    is ModelRequestResult.Refused -> notRun(reason).copy(requestId = id.value).toResponse(retryAfter)
    else -> toProblem(id).toResponse()
}

/** The problem of a request that was sent to a back end and did not end with the whole answer. */
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
