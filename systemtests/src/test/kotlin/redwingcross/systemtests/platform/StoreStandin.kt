package redwingcross.systemtests.platform

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import redwingcross.connection.http.CallerExchange
import java.util.TreeMap
import java.util.concurrent.TimeUnit

/** How the store treats one call. */
internal enum class StoreFault { NONE, UNAVAILABLE, BUSY, ANSWER_LOST, DONE_LATE }

/**
 * Stand-in for the platform's store: objects by kind and name, one revision counter, watches that wait, and a history
 * that can be dropped. All of its functions run on [loop].
 */
internal class StoreStandin(private val loop: EventLoop) {
    private class Stored(val revision: Long, val spec: JsonElement)

    private class Change(val revision: Long, val kind: String, val json: JsonObject, val removed: Boolean)

    private class Waiting(val kind: String, val from: Long, val exchange: CallerExchange)

    private val kinds = HashMap<String, TreeMap<String, Stored>>()
    private val history = ArrayDeque<Change>()
    private val waiting = mutableListOf<Waiting>()
    private var revision = 1L
    private var historyStart = 0L

    /** Chooses the fault of the next call. */
    var fault: (method: String) -> StoreFault = { StoreFault.NONE }

    fun put(kind: String, name: String, spec: JsonElement) {
        val objects = kinds.getOrPut(kind, ::TreeMap)
        if (objects[name]?.spec == spec) return
        revision++
        objects[name] = Stored(revision, spec)
        changed(kind, json(name, objects.getValue(name)), removed = false)
    }

    fun remove(kind: String, name: String) {
        val old = kinds[kind]?.remove(name) ?: return
        revision++
        changed(kind, json(name, Stored(revision, old.spec)), removed = true)
    }

    /** Drops the history, so that watches have to list again. */
    fun compact() {
        history.clear()
        historyStart = revision
    }

    private fun changed(kind: String, json: JsonObject, removed: Boolean) {
        history.addLast(Change(revision, kind, json, removed))
        for (watch in waiting.filter { it.kind == kind }) {
            waiting.remove(watch)
            answerWatch(watch)
        }
    }

    fun serve(exchange: CallerExchange) {
        val method = exchange.head.method
        when (fault(method)) {
            StoreFault.NONE -> handle(exchange)
            StoreFault.UNAVAILABLE -> respond(exchange, UNAVAILABLE, null)
            StoreFault.BUSY -> respond(exchange, BUSY, null)
            StoreFault.ANSWER_LOST -> if (method == "GET") exchange.abort() else write(exchange)
            StoreFault.DONE_LATE -> if (method == "GET") {
                handle(exchange)
            } else {
                loop.schedule({ write(exchange) }, LATE_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun handle(exchange: CallerExchange) {
        if (exchange.head.method == "GET") {
            read(exchange)
        } else {
            val (status, body) = write(exchange)
            respond(exchange, status, body)
        }
    }

    private fun read(exchange: CallerExchange) {
        val query = QueryStringDecoder(exchange.head.target)
        val path = query.path().removePrefix(PATH).split('/')
        val objects = kinds[path.first()].orEmpty()
        val watch = query.parameters()["watch"]?.first()?.toLong()
        if (path.size > 1) {
            val stored = objects[path[1]]
            respond(exchange, if (stored == null) NOT_FOUND else OK, stored?.let { json(path[1], it) })
        } else if (watch == null) {
            respond(exchange, OK, page(objects, query.parameters()["since-rev"]?.first()))
        } else {
            watch(exchange, path.first(), watch, query.parameters().getValue("wait-ms").first().toLong())
        }
    }

    private fun page(objects: Map<String, Stored>, after: String?): JsonObject {
        val rest = objects.filterKeys { after == null || it > after }
        return buildJsonObject {
            putJsonArray("items") { rest.entries.take(PAGE).forEach { add(json(it.key, it.value)) } }
            put("has-more", rest.size > PAGE)
            put("current-rev", revision)
        }
    }

    private fun watch(exchange: CallerExchange, kind: String, from: Long, waitMillis: Long) {
        if (from < historyStart) return respond(exchange, GONE, null)
        val watch = Waiting(kind, from, exchange)
        if (history.any { it.kind == kind && it.revision > from }) return answerWatch(watch)
        waiting += watch
        exchange.onDisconnect = { waiting.remove(watch) }
        loop.schedule({ if (waiting.remove(watch)) answerWatch(watch) }, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun answerWatch(watch: Waiting) {
        val body = buildJsonObject {
            putJsonArray("events") {
                for (change in history.filter { it.kind == watch.kind && it.revision > watch.from }) {
                    add(
                        buildJsonObject {
                            put("removed", change.removed)
                            put("object", change.json)
                        },
                    )
                }
            }
            put("current-rev", revision)
        }
        respond(watch.exchange, OK, body)
    }

    /** Carries out a write if its condition holds and returns the answer to it. */
    private fun write(exchange: CallerExchange): Pair<Int, JsonObject?> {
        val kind = exchange.head.target.removePrefix(PATH).substringBefore('/')
        val body = Json.parseToJsonElement(exchange.body.decodeToString()).jsonObject
        val metadata = body.getValue("metadata").jsonObject
        val name = metadata.getValue("name").jsonPrimitive.content
        val current = kinds[kind]?.get(name)
        val expected = metadata["revision"]?.jsonPrimitive?.long
        return when {
            exchange.head.method == "POST" && current != null -> CONFLICT to json(name, current)
            exchange.head.method == "PUT" && current == null -> NOT_FOUND to null
            expected != null && expected != current?.revision -> CONFLICT to current?.let { json(name, it) }
            else -> {
                put(kind, name, body.getValue("spec"))
                OK to json(name, kinds.getValue(kind).getValue(name))
            }
        }
    }

    private fun json(name: String, stored: Stored) = buildJsonObject {
        putJsonObject("metadata") {
            put("name", name)
            put("revision", stored.revision)
        }
        put("spec", stored.spec)
    }

    private fun respond(exchange: CallerExchange, status: Int, body: JsonObject?) {
        exchange.respond(status, DefaultHttpHeaders(), body?.toString().orEmpty().toByteArray())
    }

    private companion object {
        const val PATH = "/redwingcross/objects/"
        const val PAGE = 500
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val BUSY = 429
        const val UNAVAILABLE = 503

        /** A write whose answer is lost may be carried out this much later. */
        const val LATE_MILLIS = 1500L
    }
}
