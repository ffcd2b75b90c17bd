package redwingcross.connection.backend

import okhttp3.Request
import okhttp3.Response
import okio.IOException
import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.eventLine
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.AttemptFault
import redwingcross.request.model.CancelModelAttempt
import redwingcross.request.model.ModelAttempt
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.model.TokenOffset
import redwingcross.request.slot.ConfirmDispatch

private const val END_MARKER = "[DONE]"
private const val OK = 200

private typealias Emit = suspend (ModelRequestEvent.FromAttempt) -> Unit

/** Returns the function that sends a model attempt to an engine and emits the events of the response stream. */
fun BackendHttp.runModelAttempt(): RunModelAttempt = { attempt, confirm, emit -> runAttempt(attempt, confirm, emit) }

/**
 * Returns the function that cancels an attempt at an engine. A failure is only logged, because the engine also stops
 * when it detects that the attempt's connection was closed.
 */
fun BackendHttp.cancelModelAttempt(): CancelModelAttempt = { slot, attempt ->
    val request = Request.Builder()
        .url("http://${slot.endpoint}/control/cancel/$attempt")
        .post(OneShotBody(ByteArray(0)))
        .build()
    run(newCall(request, limits.cancelTimeout)) { call ->
        try {
            call.execute().close()
        } catch (failure: IOException) {
            backendLog.debug {
                eventLine(
                    "cancel_failed",
                    "attempt" to attempt,
                    "endpoint" to slot.endpoint,
                    "cause" to failure,
                )
            }
        }
    }
}

private suspend fun BackendHttp.runAttempt(attempt: ModelAttempt, confirm: ConfirmDispatch, emit: Emit) {
    val permission = SendPermission { NotRunReason.STALE_VIEW.takeUnless { confirm(attempt.slot.id) } }
    val fault = run(newCall(attempt.toHttp(permission))) { call ->
        try {
            call.execute().use { response -> readResponse(attempt.attempt, response, emit) }
        } catch (refused: SendRefusedException) {
            AttemptFault.NotSent(refused.reason, refused.message.orEmpty())
        } catch (failure: IOException) {
            if (permission.mayHaveSent) {
                AttemptFault.Broken(failure.toString())
            } else {
                AttemptFault.NotSent(NotRunReason.CONNECT_FAILED, failure.toString())
            }
        }
    }
    if (fault != null) emit(ModelRequestEvent.AttemptFailed(attempt.attempt, fault))
}

private fun ModelAttempt.toHttp(permission: SendPermission): Request = Request.Builder()
    .url("http://${slot.endpoint}/v1/chat/completions")
    .header("X-Request-Id", request.value)
    .header("X-Attempt-Id", attempt.value)
    .header("X-Priority", priority.toString())
    .header("X-Resume-Offset", resumeAt.toString())
    .header("Accept", "text/event-stream")
    .header("Accept-Encoding", "identity")
    .header("Content-Type", "application/json")
    .apply {
        slot.group?.let { header("X-Group", it.value) }
        slot.generation?.let { header("X-Group-Generation", it.toString()) }
    }
    .tag(SendPermission::class.java, permission)
    .post(OneShotBody(body))
    .build()

/** Emits the events of the response; returns the fault that ended it before the end marker, or null. */
private suspend fun BackendHttp.readResponse(attempt: AttemptId, response: Response, emit: Emit): AttemptFault? {
    val echoed = response.header("X-Attempt-Id")?.let(::AttemptId)
    val incarnation = response.header("X-Boot-Id")
    if (response.code != OK) {
        val isOwn = echoed == null || echoed == attempt
        return if (isOwn) AttemptFault.Rejected(response.code, incarnation) else AttemptFault.Broken("wrong attempt id")
    }
    emit(ModelRequestEvent.AnswerStarted(attempt, echoed, incarnation))
    while (true) {
        val event = when (val item = response.body.source().readEventStreamItem(limits.maxLineBytes)) {
            is EventStreamItem.Comment -> ModelRequestEvent.KeepAliveReceived(attempt)
            is EventStreamItem.Event -> item.toModelEvent(attempt)
        }
        if (event is ModelRequestEvent.AttemptFailed) return event.fault
        emit(event)
        if (event is ModelRequestEvent.EndReceived) return null
    }
}

private fun EventStreamItem.Event.toModelEvent(attempt: AttemptId): ModelRequestEvent.FromAttempt {
    val offset = id?.toLongOrNull()?.let(::TokenOffset)
    val text = tokenText(data)
    return when {
        id != null && offset == null -> attempt.failed("event id is not a token offset: $id")
        data == END_MARKER -> ModelRequestEvent.EndReceived(attempt, offset)
        offset == null -> attempt.failed("event has no id")
        text == null -> attempt.failed("event $offset does not contain a token")
        else -> ModelRequestEvent.TokenReceived(attempt, AnswerToken(offset, text))
    }
}

private fun AttemptId.failed(detail: String) = ModelRequestEvent.AttemptFailed(this, AttemptFault.Broken(detail))
