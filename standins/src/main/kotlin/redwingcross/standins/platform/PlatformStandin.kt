package redwingcross.standins.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.standins.http.FaultInjection
import redwingcross.standins.http.StandinServer
import redwingcross.standins.http.json
import java.net.URLDecoder
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * In-memory implementation of the platform's object API with versions, conditional writes and long polls.
 *
 * `GET /standin/calls` returns the number of calls by type, because the real platform counts calls.
 */
class PlatformStandin(port: Int = 0) {
    private val injection = FaultInjection()
    private val tables = mutableMapOf<String, ObjectTable>()
    private val changes = mutableMapOf<String, CompletableDeferred<Unit>>()
    private val calls = sortedMapOf<String, Long>()
    private val server = StandinServer(port) { request, connection ->
        injection.handle(request, connection) { route(it).echoRequestId(it) }
    }

    /** Bound port on the loopback interface. */
    val port: Int get() = server.port

    fun start(): PlatformStandin = apply { server.start() }

    fun stop() = server.stop()

    private suspend fun route(request: Request): Response {
        val path = request.uri.path.split('/').drop(1).map { URLDecoder.decode(it.replace("+", "%2B"), Charsets.UTF_8) }
        return when {
            request.uri.path == "/standin/calls" -> json(Json.encodeToString(calls.toMap()))
            path.first() != "objects" || path.size !in 2..3 || path.any { it.isEmpty() } -> Response(Status.NOT_FOUND)
            path.size == 2 -> handleKind(request, path[1])
            else -> handleObject(request, path[1], path[2])
        }
    }

    private suspend fun handleKind(request: Request, kind: String): Response {
        if (request.method != Method.GET) return Response(Status.METHOD_NOT_ALLOWED)
        val since = request.query("since") ?: return countCall("lists") { list(table(kind)) }
        val wait = request.query("waitSeconds")?.toLongOrNull() ?: 0
        return since.toLongOrNull()?.let { countCall("watches") { watch(kind, it, wait) } }
            ?: Response(Status.BAD_REQUEST).body("since: not a number")
    }

    private fun list(table: ObjectTable): Response = when {
        injection.consumeStaleRead() -> objectsResponse(table.allStale(), maxOf(0, table.version - 1))
        else -> objectsResponse(table.all(), table.version)
    }

    private suspend fun watch(kind: String, since: Long, waitSeconds: Long): Response {
        val table = table(kind)
        if (table.version == since) {
            val change = changes.getOrPut(kind) { CompletableDeferred() }
            withTimeoutOrNull(waitSeconds.seconds) {
                select {
                    change.onAwait {}
                    injection.outage.onAwait {}
                }
            }
        }
        val changed = table.changes(since) ?: return Response(Status.GONE)
        return if (changed.isEmpty()) Response(Status.NO_CONTENT) else objectsResponse(changed, table.version)
    }

    private fun handleObject(request: Request, kind: String, name: String): Response = when (request.method) {
        Method.GET -> countCall("reads") { read(table(kind), name) }
        Method.PUT, Method.DELETE -> countCall("writes") { write(request, kind, name) }
        else -> Response(Status.METHOD_NOT_ALLOWED)
    }

    private fun read(table: ObjectTable, name: String): Response {
        val found = if (injection.consumeStaleRead()) table.readStale(name) else table.read(name)
        return found?.let { json(it.value.toString()).header("X-Version", it.version.toString()) }
            ?: Response(Status.NOT_FOUND)
    }

    private fun write(request: Request, kind: String, name: String): Response {
        if (request.body.payload.remaining() > MAX_VALUE_BYTES) return Response(Status.REQUEST_ENTITY_TOO_LARGE)
        val expected = request.header("If-Match")?.let {
            it.toLongOrNull() ?: return Response(Status.BAD_REQUEST).body("If-Match: not a version")
        }
        if (expected == null && request.header("If-None-Match") != "*") {
            return Response(Status.BAD_REQUEST).body("If-Match or If-None-Match is required")
        }
        val value = if (request.method == Method.PUT) request.jsonValue() else null
        return when {
            request.method == Method.PUT && value == null -> Response(Status.BAD_REQUEST).body("body: not JSON")
            value == null && expected == null -> Response(Status.BAD_REQUEST).body("DELETE requires If-Match")
            injection.consumeDelayedWrite() -> delayWrite { store(kind, name, expected, value) }
            else -> store(kind, name, expected, value)
        }
    }

    private fun delayWrite(write: () -> Unit): Response {
        server.schedule(injection.faults.delayedEffectMillis.milliseconds, write)
        return Response(FaultInjection.LOST)
    }

    private fun store(kind: String, name: String, expected: Long?, value: JsonElement?): Response {
        val written = when (value) {
            null -> table(kind).delete(name, expected!!)
            else -> table(kind).put(name, expected, value)
        }
        return when (written) {
            TableWrite.Conflict -> Response(Status.PRECONDITION_FAILED)
            is TableWrite.Done -> {
                changes.remove(kind)?.complete(Unit)
                Response(Status.OK).header("X-Version", written.version.toString())
            }
        }
    }

    private fun table(kind: String) = tables.getOrPut(kind) { ObjectTable() }

    private inline fun countCall(call: String, effect: () -> Response): Response {
        calls[call] = (calls[call] ?: 0) + 1
        return effect()
    }

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}

private fun objectsResponse(objects: List<TableObject>, version: Long): Response =
    json(JsonArray(objects.map { it.toJson() }).toString()).header("X-Kind-Version", version.toString())

private fun TableObject.toJson() = buildJsonObject {
    put("name", name)
    put("version", version)
    if (value == null) put("deleted", true) else put("value", value)
}

private fun Request.jsonValue(): JsonElement? = try {
    Json.parseToJsonElement(bodyString())
} catch (_: SerializationException) {
    null
}

/** Adds the request id, so that a client can detect a response to another request. */
private fun Response.echoRequestId(request: Request): Response =
    request.header("X-Request-Id")?.let { header("X-Request-Id", it) } ?: this
