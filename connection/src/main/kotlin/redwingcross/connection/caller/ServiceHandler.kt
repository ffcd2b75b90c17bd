package redwingcross.connection.caller

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.http4k.core.Request
import org.http4k.core.Response
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.RequestId
import redwingcross.request.service.RequestedCall
import redwingcross.request.service.ResolvedCall
import redwingcross.request.service.ServiceCall
import kotlin.time.Duration.Companion.seconds

private val serviceMethods = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
private val methodsWithoutBody = setOf("GET", "HEAD")
private val contentTypePattern = Regex("[ -~]{1,255}")

/** Serves `/services/{service}/…`. */
internal class ServiceHandler(private val services: CallerServices) {
    private val exchange = ServiceExchange(services)

    fun handle(request: Request, id: RequestId): Response {
        val path = parseServicePath(request.uri.path)
        val headers = request.callerHeaders()
        val findings = listOf(path, headers).filterIsInstance<Checked.Invalid>().flatMap { it.findings } +
            request.serviceFindings()
        return when {
            request.method.name !in serviceMethods ->
                invalidRequest("method", "must be one of $serviceMethods", ProblemStatus.METHOD_NOT_ALLOWED)
                    .copy(requestId = id.value).toResponse()
            path is Checked.Valid && headers is Checked.Valid && findings.isEmpty() ->
                resolve(request, id, path.value, headers.value)
            else -> findings.toProblem().copy(requestId = id.value).toResponse()
        }
    }

    private fun resolve(request: Request, id: RequestId, path: ServicePath, headers: CallerHeaders): Response {
        val requestedCall = RequestedCall.OfService(headers.customer, path.service, request.method.name, path.decoded)
        return when (val call = services.resolve(requestedCall)) {
            is ResolvedCall.Resolved -> if (call.isNonIdempotent && headers.key == null) {
                invalidRequest("header $IDEMPOTENCY_KEY_HEADER", "is needed for a call that must not be repeated")
                    .copy(requestId = id.value).toResponse()
            } else {
                run(request.toCall(id, path, headers, call), call.priority + headers.priority)
            }
            else -> call.toProblem("path").copy(requestId = id.value).toResponse(resolveRetryAfter)
        }
    }

    /** Runs the call in its own task, so that it completes and is recorded even if this exchange fails. */
    private fun run(call: ServiceCall, priority: Int): Response {
        val response = services.scope.async(start = CoroutineStart.UNDISPATCHED) {
            withContext(NonCancellable) { runCatching { exchange.run(call, priority) } }
        }
        return runBlocking { response.await() }.getOrThrow()
    }

    private fun Request.toCall(
        id: RequestId,
        path: ServicePath,
        headers: CallerHeaders,
        resolved: ResolvedCall.Resolved,
    ) = ServiceCall(
        request = id,
        customer = resolved.customer,
        service = resolved.service,
        method = method.name,
        path = path.raw + if (uri.query.isEmpty()) "" else "?${uri.query}",
        contentType = header("Content-Type"),
        body = body.payload.let { payload -> ByteArray(payload.remaining()).also { payload.duplicate().get(it) } },
        key = headers.key,
        deadline = services.clock.now() + minOf(headers.timeout ?: resolved.timeout, resolved.timeout),
    )
}

private fun Request.serviceFindings(): List<Finding> = listOfNotNull(
    Finding("body", "must be empty for ${method.name}")
        .takeIf { method.name in methodsWithoutBody && body.payload.hasRemaining() },
    Finding("header Content-Type", "must be visible ASCII characters")
        .takeIf { header("Content-Type")?.let(contentTypePattern::matches) == false },
)

/** The problem of a call that could not be resolved; [place] is the part of the request that names the service. */
internal fun ResolvedCall.toProblem(place: String): Problem = when (this) {
    is ResolvedCall.UnknownCustomer -> invalidRequest(
        "header $CUSTOMER_HEADER",
        "unknown customer $name",
        ProblemStatus.NOT_FOUND,
    )
    is ResolvedCall.UnknownService -> invalidRequest(place, "unknown name $name", ProblemStatus.NOT_FOUND)
    is ResolvedCall.Unavailable -> notRun(reason)
    is ResolvedCall.Resolved -> error("a resolved call has no problem document")
}

internal val resolveRetryAfter = 1.seconds
