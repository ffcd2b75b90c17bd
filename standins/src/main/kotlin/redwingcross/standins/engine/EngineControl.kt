package redwingcross.standins.engine

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.connection.engine.FencingRefusal

/** Control endpoints of one engine (report, orders, cancel) and the test endpoints for its faults and runs. */
internal class EngineControl(private val task: EngineTask) {
    val handler: HttpHandler =
        routes(
            "/control/report" bind Method.GET to { _ -> runBlocking { report() } },
            "/control/orders" bind Method.POST to { request -> runBlocking { order(request) } },
            "/control/cancel/{attempt}" bind Method.POST to { request -> runBlocking { cancel(request) } },
            "/standin/faults" bind Method.PUT to { request -> runBlocking { faults(request) } },
            "/standin/runs" bind Method.GET to { _ -> runBlocking { runs() } },
        )

    private suspend fun report(): Response {
        val report = task.read { state, now -> state.report(now) }
        return json(Status.OK, engineJson.encodeToString(EngineReport.serializer(), report))
    }

    private suspend fun order(request: Request): Response {
        val order = decoded { engineJson.decodeFromString(EngineOrder.serializer(), request.bodyString()) }
            ?: return Response(Status.BAD_REQUEST).body("malformed order body")
        return when (val reply = task.execute { state, now -> state.withOrder(order, now) }) {
            OrderReply.Accepted -> Response(Status.ACCEPTED)
            is OrderReply.Fenced ->
                json(
                    Status.CONFLICT,
                    engineJson.encodeToString(FencingRefusal.serializer(), FencingRefusal(reply.highest)),
                )
        }
    }

    private suspend fun cancel(request: Request): Response {
        val attempt = request.path("attempt").orEmpty()
        val isFound = task.execute { state, now -> state.cancelAttempt(attempt, now) }
        return Response(if (isFound) Status.OK else Status.NOT_FOUND)
    }

    private suspend fun faults(request: Request): Response {
        val change = decoded { engineJson.decodeFromString(EngineFaults.serializer(), request.bodyString()) }
            ?: return Response(Status.BAD_REQUEST).body("malformed faults body")
        task.change { state, now -> state.withFaults(change, now) }
        return Response(Status.OK)
    }

    private suspend fun runs(): Response {
        val runs = task.read { state, _ -> state.runs.values.toList() }
        return json(Status.OK, engineJson.encodeToString(ListSerializer(EngineRun.serializer()), runs))
    }

    private fun <T> decoded(decode: () -> T): T? = try {
        decode()
    } catch (_: SerializationException) {
        null
    }

    private fun json(status: Status, body: String) =
        Response(status).header("Content-Type", "application/json").body(body)
}
