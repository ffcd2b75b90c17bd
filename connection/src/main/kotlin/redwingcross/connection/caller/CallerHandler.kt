package redwingcross.connection.caller

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.RequestId

/**
 * Handles callers' requests: `GET /addresses`, `POST /v1/chat/completions` and any method on
 * `/services/{service}/…`. A refused request gets a problem document (RFC 9457) that states whether it was run.
 */
fun callerHandler(services: CallerServices): HttpHandler {
    val modelHandler = ModelHandler(services)
    val serviceHandler = ServiceHandler(services)
    return { request ->
        when (val id = request.requestId(services.newRequestId)) {
            is Checked.Invalid -> id.findings.toProblem().toResponse()
            is Checked.Valid -> route(request, id.value, services, modelHandler, serviceHandler)
                .header(REQUEST_ID_HEADER, id.value.value)
        }
    }
}

private fun route(
    request: Request,
    id: RequestId,
    services: CallerServices,
    modelHandler: ModelHandler,
    serviceHandler: ServiceHandler,
): Response {
    val path = request.uri.path
    return when {
        path == "/addresses" -> requireMethod(request, Method.GET, id) { services.listAddresses().toResponse() }
        path == "/v1/chat/completions" -> requireMethod(request, Method.POST, id) { modelHandler.handle(request, id) }
        path.startsWith(SERVICES_PREFIX) -> serviceHandler.handle(request, id)
        else -> invalidRequest("path", "nothing is served at this path", ProblemStatus.NOT_FOUND)
            .copy(requestId = id.value).toResponse()
    }
}

private fun requireMethod(request: Request, method: Method, id: RequestId, handle: () -> Response): Response =
    if (request.method == method) {
        handle()
    } else {
        invalidRequest("method", "only $method is allowed here", ProblemStatus.METHOD_NOT_ALLOWED)
            .copy(requestId = id.value).toResponse().header("Allow", method.name)
    }

internal fun List<Finding>.toProblem(): Problem =
    invalidRequest(joinToString(", ") { it.place }, joinToString("; ") { it.toString() })
