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
 * Returns the function that sends a call to a plain service, once and on its own connection. [confirm] and the deadline
 * are checked again after the connection is established. The outcome is [Outcome.NotRun] only if no byte of the request
 * was written, and [Outcome.Completed] only if the whole response was received.
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
        call.execute().use { response -> readResponse(response, attempt) }
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

private fun BackendHttp.readResponse(response: Response, attempt: AttemptId): Outcome<ServiceAnswer> {
    val echoed = response.header("X-Attempt-Id")
    if (echoed != null && echoed != attempt.value) return Outcome.Unknown("response of another attempt: $echoed")
    if (!response.isLengthDelimited()) return Outcome.Unknown("the response has no content length and is not chunked")
    val source = response.body.source()
    if (source.request(limits.maxResponseBytes + 1)) {
        return Outcome.Unknown("the response is larger than ${limits.maxResponseBytes} bytes")
    }
    return Outcome.Completed(ServiceAnswer(response.code, response.header("Content-Type"), source.readByteArray()))
}

/** Whether a truncated response can be detected. Without a length or chunks, it looks like a complete one. */
private fun Response.isLengthDelimited(): Boolean = header("Content-Length") != null ||
    header("Transfer-Encoding").equals("chunked", ignoreCase = true) ||
    request.method == "HEAD" ||
    code in statusesWithoutBody
