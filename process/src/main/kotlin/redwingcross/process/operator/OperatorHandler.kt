package redwingcross.process.operator

import org.http4k.core.HttpHandler
import org.http4k.core.Method.GET
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.process.state.StateDump

/**
 * The HTTP routes of the operator port. A process that answers is live. It is ready if it accepts new work, which is
 * possible without a connection to the platform; the detail of its readiness reports that.
 */
fun operatorHandler(readiness: ReadReadiness, state: StateDump, metrics: ProcessMetrics): HttpHandler = routes(
    "/health/live" bind GET to { plain(Status.OK, "live") },
    "/health/ready" bind GET to {
        val current = readiness()
        plain(if (current.ready) Status.OK else Status.SERVICE_UNAVAILABLE, current.detail)
    },
    "/state" bind GET to { request -> stateAnswer(request, state) },
    "/metrics" bind GET to { plain(Status.OK, metrics.scrape()) },
)

private fun stateAnswer(request: Request, state: StateDump): Response {
    val section = request.query("section")
    if (section != null && section !in state.sectionNames) {
        return plain(Status.NOT_FOUND, "section: must be one of ${state.sectionNames.joinToString()}")
    }
    return Response(Status.OK)
        .header("Content-Type", "application/json")
        .body(state.take(section).toString())
}

private fun plain(status: Status, text: String): Response =
    Response(status).header("Content-Type", "text/plain; charset=utf-8").body("${text.trimEnd()}\n")
