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

/** Fault that the store applies to one call. */
internal enum class StoreFault { NONE, UNAVAILABLE, BUSY, ANSWER_LOST, DONE_LATE }

/**
 * Stand-in for the platform's store: objects by kind and name, a single revision counter, long-polling watches and a
 * change history that can be compacted. It can be restored from a copy, which begins a new era that all of its answers
 * state. All of its functions run on [loop].
 */
internal class StoreStandin(private val loop: EventLoop) {
    private class Stored(val revision: Long, val spec: JsonElement)

    private class Change(val revision: Long, val kind: String, val json: JsonObject, val removed: Boolean)

    /** The state of the store at one time, from which it can be restored. */
    inner class Copy {
        private val kinds = this@StoreStandin.kinds.mapValues { TreeMap(it.value) }
        private val history = this@StoreStandin.history.toList()
        private val revision = this@StoreStandin.revision
        private val historyStart = this@StoreStandin.historyStart

        /** Replaces the store's state by this one and begins a new era. Pending watches stay pending. */
        fun restore() {
            val store = this@StoreStandin
            store.kinds.clear()
            kinds.mapValuesTo(store.kinds) { TreeMap(it.value) }
            store.history.clear()
            store.history.addAll(history)
            store.revision = revision
            store.historyStart = historyStart
            era++
        }
    }

    private class PendingWatch(val kind: String, val from: Long, val exchange: CallerExchange)

    private val kinds = HashMap<String, TreeMap<String, Stored>>()
    private val history = ArrayDeque<Change>()
    private val pendingWatches = mutableListOf<PendingWatch>()
    private var revision = 1L
    private var historyStart = 0L
    private var era = 0L

    /** Largest number of objects of one page of a list. */
    var pageSize = 500

    /** Returns the fault for the next call with the given HTTP method. */
    var fault: (method: String) -> StoreFault = { StoreFault.NONE }

    /** Returns the time in ms by which the answer to the next call with the given HTTP method is late. */
    var answerDelayMillis: (method: String) -> Long = { 0 }

    /** Creates or replaces an object; an unchanged [spec] gets no new revision. */
    fun put(kind: String, name: String, spec: JsonElement) {
        val objects = kinds.getOrPut(kind, ::TreeMap)
        if (objects[name]?.spec == spec) return
        revision++
        objects[name] = Stored(revision, spec)
        recordChange(kind, json(name, objects.getValue(name)), removed = false)
    }

    fun remove(kind: String, name: String) {
        val old = kinds[kind]?.remove(name) ?: return
        revision++
        recordChange(kind, json(name, Stored(revision, old.spec)), removed = true)
    }

    /** Names of the objects of [kind]. */
    fun names(kind: String): Set<String> = kinds[kind]?.keys.orEmpty().toSet()

    /** Drops the change history, so that watches from earlier revisions receive 410 and clients have to list again. */
    fun compact() {
        history.clear()
        historyStart = revision
    }

    private fun recordChange(kind: String, json: JsonObject, removed: Boolean) {
        history.addLast(Change(revision, kind, json, removed))
        for (watch in pendingWatches.filter { it.kind == kind }) {
            pendingWatches.remove(watch)
            respondToWatch(watch)
        }
    }

    /** Handles one HTTP request to the store. */
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
                loop.schedule({ write(exchange) }, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
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
        val remaining = objects.filterKeys { after == null || it > after }
        return buildJsonObject {
            putJsonArray("items") { remaining.entries.take(pageSize).forEach { add(json(it.key, it.value)) } }
            put("has-more", remaining.size > pageSize)
            put("current-rev", revision)
        }
    }

    private fun watch(exchange: CallerExchange, kind: String, from: Long, waitMillis: Long) {
        if (from < historyStart || from > revision) return respond(exchange, GONE, null)
        val watch = PendingWatch(kind, from, exchange)
        if (history.any { it.kind == kind && it.revision > from }) return respondToWatch(watch)
        pendingWatches += watch
        exchange.onDisconnect = { pendingWatches.remove(watch) }
        loop.schedule({ if (pendingWatches.remove(watch)) respondToWatch(watch) }, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun respondToWatch(watch: PendingWatch) {
        if (watch.from > revision) return respond(watch.exchange, GONE, null)
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

    /** Applies a conditional write if its condition holds; returns the status and body of the response. */
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
        val headers = DefaultHttpHeaders().add(ERA_HEADER, era)
        val send = { exchange.respond(status, headers, body?.toString().orEmpty().toByteArray()) }
        val delay = answerDelayMillis(exchange.head.method)
        if (delay == 0L) send() else loop.schedule(send, delay, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val PATH = "/redwingcross/objects/"
        const val ERA_HEADER = "Store-Era"
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val BUSY = 429
        const val UNAVAILABLE = 503

        /** Delay after which a write with [StoreFault.DONE_LATE] is applied; no response is sent. */
        const val WRITE_DELAY_MILLIS = 1500L
    }
}
