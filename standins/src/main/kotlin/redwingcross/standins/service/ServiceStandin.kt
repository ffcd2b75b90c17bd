package redwingcross.standins.service

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import redwingcross.standins.http.FaultInjection
import redwingcross.standins.http.StandinServer
import redwingcross.standins.http.json

/** Number of requests that the service ran: in total, and by their `Idempotency-Key`. */
@Serializable
data class ServiceRuns(val total: Long, val byKey: Map<String, Int>)

/** Response body of the plain service for every path. */
@Serializable
data class ServiceReceipt(val run: Long, val method: String, val path: String, val bodyBytes: Int)

/**
 * Stand-in of a plain service. Runs every request it receives, without deduplication, and counts the runs by
 * `Idempotency-Key`. `GET /standin/runs` returns the counts as [ServiceRuns].
 */
class ServiceStandin(port: Int = 0) {
    private val injection = FaultInjection()
    private val runsByKey = sortedMapOf<String, Int>()
    private var total = 0L
    private val server = StandinServer(port) { request, connection -> injection.handle(request, connection, ::route) }

    /** Bound port on the loopback interface. */
    val port: Int get() = server.port

    fun start(): ServiceStandin = apply { server.start() }

    fun stop() = server.stop()

    private fun route(request: Request): Response = when (request.uri.path) {
        "/standin/runs" -> json(Json.encodeToString(ServiceRuns(total, runsByKey)))
        else -> run(request)
    }

    private fun run(request: Request): Response {
        total++
        request.header("Idempotency-Key")?.let { runsByKey.merge(it, 1, Int::plus) }
        val receipt =
            ServiceReceipt(total, request.method.name, request.uri.toString(), request.body.payload.remaining())
        val plainResponse = json(Json.encodeToString(receipt))
        // The response repeats the ids of its request, so that the caller can detect a response to another request.
        return listOf("X-Attempt-Id", "X-Request-Id").fold(plainResponse) { response, name ->
            request.header(name)?.let { response.header(name, it) } ?: response
        }
    }
}
