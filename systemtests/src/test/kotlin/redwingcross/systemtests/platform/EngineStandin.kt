package redwingcross.systemtests.platform

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.RequestHead
import java.util.concurrent.TimeUnit

/** Constant part of an engine's store entry. [domain] is empty for plain back ends. */
internal data class EngineEntry(val service: String, val domain: String, val zone: String, val isModelEngine: Boolean)

/**
 * Stand-in for one life of a model engine or of a back end of a plain service at [address]. All of its functions run on
 * the fabric's event loop.
 */
internal class EngineStandin(
    val id: String,
    val entry: EngineEntry,
    private val fabric: FabricStandin,
    val address: EngineAddress,
) {
    private val loop = fabric.loop
    val link get() = address.link
    private val born = System.currentTimeMillis()
    private var revision = 0L
    private var entrySequence = 0L
    private var highestEpoch = 0L

    /** Model whose weights are loaded on the host, or null. */
    var staged: String? = null
        private set
    private var membership: GroupMembership? = null
    private var phase = "joining"
    private var running = 0
    private var stalledSince = 0L
    private var isAlive = true

    /** While true, plain requests run but their connection is closed without a response. */
    var dropsResponses = false

    /** While true, the engine answers no call and sends no event; it goes on where it was once this is false. */
    var isSilent = false

    /** While true, the engine answers requests and report requests with bytes that never end. */
    var sendsWithoutEnd = false

    /** Whether the engine is the head of its group and the group accepts requests. */
    val isOpenHead: Boolean get() = phase == "open" && membership?.members?.first() == id

    /** Creates a new engine with the same service, domain, zone and kind at an address of its own. */
    fun createReplacement(name: String) = EngineStandin(name, entry, fabric, EngineAddress(fabric))

    /** Creates the next life of this engine: its host keeps the staged weights, all else is lost. */
    fun createNextLife() = EngineStandin(id, entry, fabric, address).also { it.staged = staged }

    /** Takes the address and publishes the entry. */
    fun start() {
        address.assign(this)
        publishEntry()
    }

    /** Simulates a crash: resets all connections and refuses new ones. */
    fun stop() {
        isAlive = false
        address.release()
    }

    /** Writes the engine's entry to the store. */
    fun publishEntry() {
        if (!isAlive) return
        fabric.store.put(
            FabricStandin.SERVERS,
            id,
            buildJsonObject {
                put("service", entry.service)
                put("addr", "127.0.0.1:${link.address.port}")
                put("zone", entry.zone)
                put("version", 1)
                put("slots", SLOTS)
                put("state", "ready")
                put("cold-remaining-ms", 0)
                put("seq", ++entrySequence)
                putEngineState()
            },
        )
    }

    private fun JsonObjectBuilder.putEngineState() {
        put("born", born)
        if (!entry.isModelEngine) return
        put("domain", entry.domain)
        putJsonArray("staged") { staged?.let { add(it) } }
        membership?.let { current ->
            putJsonObject("group") {
                put("name", current.group)
                put("epoch", current.epoch)
                put("rank", current.members.indexOf(id))
                put("state", phase)
            }
        }
    }

    private fun after(millis: Long, action: () -> Unit) {
        loop.schedule({ if (isAlive) action() }, millis, TimeUnit.MILLISECONDS)
    }

    private fun afterSilence(action: () -> Unit) {
        if (isSilent) after(STEP_MILLIS) { afterSilence(action) } else action()
    }

    /** Handles one HTTP request to the engine; one that names another engine is rejected. */
    fun serve(exchange: CallerExchange): Unit = afterSilence { answer(exchange) }

    private fun answer(exchange: CallerExchange) {
        val target = exchange.head.target
        val expected = exchange.head.headers.get("Expect-Instance")
        when {
            expected != null && expected != id -> reject(exchange, MISDIRECTED)
            sendsWithoutEnd -> sendWithoutEnd(exchange)
            target == "/redwingcross/report" -> report(exchange)
            target == "/redwingcross/order" -> order(exchange)
            // Stricter than an engine, so that a request sent without the header fails the test.
            expected == null -> reject(exchange, MISDIRECTED)
            entry.isModelEngine -> generate(exchange)
            else -> runOnce(exchange)
        }
    }

    private fun sendWithoutEnd(exchange: CallerExchange) {
        val isRequest = exchange.head.headers.contains("Attempt-Id")
        exchange.beginStream(OK, if (isRequest) responseHeaders(exchange.head.headers) else DefaultHttpHeaders())
        val bytes = ByteArray(ENDLESS_PART_BYTES) { 'x'.code.toByte() }
        exchange.onWritable = { while (exchange.isWritable && !exchange.isFinished) exchange.write(bytes) }
        exchange.onWritable()
    }

    private fun report(exchange: CallerExchange) {
        val body = buildJsonObject {
            put("stage", "combined")
            putJsonArray("models") {}
            put("busy", false)
            put("seq", revision)
            put("queued", 0)
            put("active", running)
            putEngineState()
        }
        exchange.respond(OK, DefaultHttpHeaders(), body.toString().toByteArray())
    }

    private fun order(exchange: CallerExchange) {
        val order = Json.parseToJsonElement(exchange.body.decodeToString()).jsonObject
        val delayMillis = fabric.orderDelayMillis()
        if (delayMillis > 0) {
            after(delayMillis) { applyOrder(order) }
        } else {
            exchange.respond(applyOrder(order), DefaultHttpHeaders(), ByteArray(0))
        }
    }

    private fun applyOrder(order: JsonObject): Int {
        val isFitting = entry.isModelEngine && order.getValue("expected-rev").jsonPrimitive.long == revision
        val status = if (isFitting) applyFittingOrder(order) else CONFLICT
        publishEntry()
        return status
    }

    private fun applyFittingOrder(order: JsonObject): Int {
        val group = order["group"]?.jsonPrimitive?.content.orEmpty()
        val epoch = order["epoch"]?.jsonPrimitive?.long ?: 0
        val isMember = membership?.let { it.group == group && it.epoch == epoch } == true
        return when (order.getValue("operation").jsonPrimitive.content) {
            "join" -> join(
                GroupMembership(group, epoch, order.getValue("members").jsonArray.map { it.jsonPrimitive.content }),
                order.getValue("model").jsonPrimitive.content,
            )
            "open" -> if (isMember) open() else CONFLICT
            "close" -> if (isMember) close() else CONFLICT
            "leave" -> {
                revision++
                if (isMember) membership = null
                OK
            }
            "stage" -> {
                revision++
                val model = order.getValue("model").jsonPrimitive.content
                after(LOAD_MILLIS) {
                    staged = model
                    publishEntry()
                }
                ACCEPTED
            }
            else -> BAD_REQUEST
        }
    }

    private fun join(next: GroupMembership, model: String): Int {
        val current = membership
        val isSameName = current?.group == next.group && current.epoch == next.epoch
        if (next.epoch < highestEpoch || (isSameName && current != next)) return PRECONDITION_FAILED
        val head = current?.takeIf { it != next }?.let { fabric.engines[it.members.first()] }
        if (head != null && head.membership == current && head.phase in setOf("open", "closing")) {
            fabric.findings += "TWO: $id joins ${next.group} while the head of ${current.group} is ${head.phase}"
        }
        revision++
        highestEpoch = next.epoch
        membership = next
        phase = "joining"
        after(if (staged == model) JOIN_MILLIS else LOAD_MILLIS) {
            if (membership == next) {
                staged = model
                phase = "ready"
                fabric.readyMemberships.getOrPut(id, ::mutableSetOf) += next
                publishEntry()
            }
        }
        return ACCEPTED
    }

    private fun open(): Int {
        val opened = membership
        if (phase != "ready" || opened?.members?.first() != id) return CONFLICT
        revision++
        after(OPEN_MILLIS) {
            if (membership == opened) {
                phase = "open"
                stalledSince = 0
                publishEntry()
            }
        }
        return ACCEPTED
    }

    private fun close(): Int {
        if (phase != "open") return CONFLICT
        revision++
        phase = "closing"
        finishClosing()
        return ACCEPTED
    }

    private fun finishClosing() {
        if (phase == "closing" && running == 0) {
            phase = "ready"
            publishEntry()
        }
    }

    /** Whether the head can reach every member and all of them are in [group]. */
    private fun isEveryMemberReachable(group: GroupMembership): Boolean = group.members.all { member ->
        fabric.engines[member]?.let { it.membership == group && it.link.fault != LinkFault.SILENT } == true
    }

    private fun generate(exchange: CallerExchange) {
        val group = membership
        if (group == null || group.members.first() != id || phase != "open") return reject(exchange, MISDIRECTED)
        if (running >= SLOTS * 2) return reject(exchange, UNAVAILABLE)
        for (member in group.members) {
            if (group !in fabric.readyMemberships[member].orEmpty()) {
                fabric.findings += "PARTIAL: ${group.group} runs a request, and $member was never ready in it"
            }
        }
        val headers = exchange.head.headers
        countRun(exchange.head)
        if (isCrashing(headers)) fabric.recordCrashingArrival()
        running++
        exchange.onDisconnect = { endRun() }
        exchange.beginStream(OK, responseHeaders(headers))
        val from = headers.get("Last-Event-Id")?.toInt() ?: 0
        emit(exchange, group, from + 1, headers.get("Token-Counts").substringAfter(',').toInt())
    }

    private fun isCrashing(headers: HttpHeaders): Boolean =
        fabric.crashingPart?.let { headers.get("Prompt-Prefix").orEmpty().split(',', ':').contains(it) } == true

    private fun emit(exchange: CallerExchange, group: GroupMembership, event: Int, last: Int) {
        after(STEP_MILLIS) {
            when {
                exchange.isFinished -> Unit
                event == 1 && isCrashing(exchange.head.headers) -> fabric.crashUnderPart(this)
                group.members.any { fabric.engines[it]?.isSilent == true } -> emit(exchange, group, event, last)
                membership != group || phase == "broken" -> abortStream(exchange)
                !isEveryMemberReachable(group) -> {
                    val now = System.nanoTime()
                    if (stalledSince == 0L) stalledSince = now
                    if (now - stalledSince > TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS)) {
                        phase = "broken"
                        publishEntry()
                    }
                    emit(exchange, group, event, last)
                }
                event > last -> {
                    exchange.endStream()
                    endRun()
                }
                else -> {
                    exchange.write("id: $event\ndata: ${content(exchange.head.target, event)}\n\n".toByteArray())
                    emit(exchange, group, event + 1, last)
                }
            }
        }
    }

    private fun abortStream(exchange: CallerExchange) {
        exchange.abort()
        endRun()
    }

    private fun endRun() {
        running--
        finishClosing()
    }

    private fun runOnce(exchange: CallerExchange) {
        if (running >= SLOTS) return reject(exchange, UNAVAILABLE)
        val headers = exchange.head.headers
        countRun(exchange.head)
        fabric.lastServiceByRoute[exchange.head.target.substringBeforeLast('/')] = entry.service
        running++
        after(WORK_MILLIS) {
            afterSilence {
                running--
                if (dropsResponses) {
                    exchange.abort()
                } else {
                    exchange.respond(OK, responseHeaders(headers), content(exchange.head.target, 0).toByteArray())
                }
            }
        }
    }

    private fun countRun(head: RequestHead) {
        val headers = head.headers
        val route = head.target.substringBeforeLast('/')
        fabric.runs.merge(headers.get("Attempt-Id"), 1, Int::plus)
        if (headers.get("Tenant") != TENANT || headers.contains("Authorization")) {
            fabric.findings += "UNASKED: tenant ${headers.get("Tenant")}, key passed on"
        }
        if (entry.service !in fabric.allowedServices.getValue(route)) {
            fabric.findings += "ROUTE: $id of ${entry.service} ran a request for $route"
        }
    }

    private fun responseHeaders(request: HttpHeaders): HttpHeaders = DefaultHttpHeaders()
        .add("Attempt-Id", request.get("Attempt-Id"))
        .add("Server-Stamp", "$id.$born")

    private fun reject(exchange: CallerExchange, status: Int) {
        val headers = DefaultHttpHeaders().add("Not-Executed", "1")
        exchange.head.headers.get("Attempt-Id")?.let { headers.add("Attempt-Id", it) }
        exchange.respond(status, headers, ByteArray(0))
    }

    companion object {
        const val TENANT = "clinic"

        /** Content of a response event; unique to its request, so that callers detect wrong or mixed responses. */
        fun content(target: String, event: Int): String = "%08x".format("$target#$event".hashCode())

        private const val SLOTS = 12
        private const val ENDLESS_PART_BYTES = 65_536
        private const val OK = 200
        private const val ACCEPTED = 202
        private const val BAD_REQUEST = 400
        private const val CONFLICT = 409
        private const val PRECONDITION_FAILED = 412
        private const val MISDIRECTED = 421
        private const val UNAVAILABLE = 503
        private const val LOAD_MILLIS = 600L
        private const val JOIN_MILLIS = 200L
        private const val OPEN_MILLIS = 100L
        private const val STEP_MILLIS = 20L
        private const val WORK_MILLIS = 15L

        /** A head marks its group as broken this long after it lost a member; `stall-ms` in the settings. */
        const val STALL_MILLIS = 2000L
    }
}
