package redwingcross.connection.backend

import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.Request
import okhttp3.Response
import okio.IOException
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.service.DispatchOnce
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import redwingcross.request.slot.ConfirmDispatch
import redwingcross.request.slot.Slot
import kotlin.time.Duration.Companion.milliseconds

private val methodsWithoutBody = setOf("GET", "HEAD")
private val statusesWithoutBody = setOf(204, 304)

/**
 * Sends calls to plain services, each once and on a connection of its own. [confirm] and the deadline are checked
 * again after the connection is established. The outcome is not run only if no byte of the request was written, and
 * completed only if the whole answer arrived.
 */
fun BackendHttp.dispatchOnce(confirm: ConfirmDispatch, clock: MonotonicClock): DispatchOnce = { slot, call, attempt ->
    val url = "http://${slot.endpoint}${call.path}".toHttpUrlOrNull()
    val remaining = call.deadline - clock.now()
    when {
        url == null -> Outcome.NotRun(NotRunReason.INVALID_REQUEST)
        // OkHttp's timers have a resolution of 1 ms.
        remaining < 1.milliseconds -> Outcome.NotRun(NotRunReason.DEADLINE_EXCEEDED)
        else -> {
            val permission = SendPermission {
                when {
                    clock.now() >= call.deadline -> NotRunReason.DEADLINE_EXCEEDED
                    !confirm(slot.id) -> NotRunReason.STALE_VIEW
                    else -> null
                }
            }
            send(newCall(call.toHttp(url, slot, attempt, permission), remaining), attempt, permission)
        }
    }
}

private suspend fun BackendHttp.send(
    httpCall: okhttp3.Call,
    attempt: AttemptId,
    permission: SendPermission,
): Outcome<ServiceAnswer> = run(httpCall) { call ->
    try {
        call.execute().use { response -> readAnswer(response, attempt) }
    } catch (refused: SendRefusedException) {
        Outcome.NotRun(refused.reason)
    } catch (failure: IOException) {
        if (permission.mayHaveSent) Outcome.Unknown(failure.toString()) else Outcome.NotRun(NotRunReason.CONNECT_FAILED)
    }
}

private fun ServiceCall.toHttp(url: HttpUrl, slot: Slot, attempt: AttemptId, permission: SendPermission): Request =
    Request.Builder()
        .url(url)
        .header("Host", slot.endpoint)
        .header("Connection", "close")
        .header("Accept-Encoding", "identity")
        .header("X-Request-Id", request.value)
        .header("X-Attempt-Id", attempt.value)
        .header("X-Customer", customer.value)
        .apply {
            key?.let { header("Idempotency-Key", it.value) }
            contentType?.let { header("Content-Type", it) }
        }
        .tag(SendPermission::class.java, permission)
        .method(method, if (method in methodsWithoutBody) null else OneShotBody(body))
        .build()

private fun BackendHttp.readAnswer(response: Response, attempt: AttemptId): Outcome<ServiceAnswer> {
    val echoed = response.header("X-Attempt-Id")
    if (echoed != null && echoed != attempt.value) return Outcome.Unknown("answer of another attempt: $echoed")
    if (!response.hasKnownEnd()) return Outcome.Unknown("the answer does not state its length")
    val source = response.body.source()
    if (source.request(limits.maxAnswerBytes + 1)) {
        return Outcome.Unknown("the answer is larger than ${limits.maxAnswerBytes} bytes")
    }
    return Outcome.Completed(ServiceAnswer(response.code, response.header("Content-Type"), source.readByteArray()))
}

/** Without a length or chunks, an answer that was cut off looks like a whole one. */
private fun Response.hasKnownEnd(): Boolean = header("Content-Length") != null ||
    header("Transfer-Encoding").equals("chunked", ignoreCase = true) ||
    request.method == "HEAD" ||
    code in statusesWithoutBody
