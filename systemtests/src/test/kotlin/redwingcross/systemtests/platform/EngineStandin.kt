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
import java.util.concurrent.TimeUnit

/** Where an engine is listed. */
internal data class EnginePlace(val service: String, val domain: String, val zone: String, val isModelEngine: Boolean)

/**
 * Stand-in for a model engine, or for a back end of a plain service. It is made outside the fabric's loop, on which all
 * of its functions run.
 */
internal class EngineStandin(val id: String, private val place: EnginePlace, private val fabric: FabricStandin) {
    private val loop = fabric.loop
    val address = fabric.listen(::serve)

    /** The link on which everybody reaches the engine. */
    val link = LinkProxy(loop, address)
    private val born = System.currentTimeMillis()
    private var orders = 0L
    private var writes = 0L
    private var highestEpoch = 0L

    /** The model whose weights are on the host. */
    var staged: String? = null
        private set
    private var membership: GroupList? = null
    private var phase = "joining"
    private var running = 0
    private var stalledSince = 0L
    private var isAlive = true

    /** Takes the answer of the next run away. */
    var losesAnswers = false

    val isOpenHead: Boolean get() = phase == "open" && membership?.members?.first() == id

    /** Another engine at the same place. */
    fun successor(name: String) = EngineStandin(name, place, fabric)

    fun die() {
        isAlive = false
        link.fault = LinkFault.REFUSED
        link.reset()
    }

    fun list() {
        if (!isAlive) return
        fabric.store.put(
            FabricStandin.SERVERS,
            id,
            buildJsonObject {
                put("service", place.service)
                put("addr", "127.0.0.1:${link.address.port}")
                put("zone", place.zone)
                put("version", 1)
                put("slots", SLOTS)
                put("state", "ready")
                put("cold-remaining-ms", 0)
                put("seq", ++writes)
                describe()
            },
        )
    }

    private fun JsonObjectBuilder.describe() {
        put("born", born)
        if (!place.isModelEngine) return
        put("domain", place.domain)
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

    private fun serve(exchange: CallerExchange) {
        val target = exchange.head.target
        when {
            target == "/redwingcross/report" -> report(exchange)
            target == "/redwingcross/order" -> order(exchange)
            exchange.head.headers.get("Expect-Instance") != id -> decline(exchange, MISDIRECTED)
            place.isModelEngine -> generate(exchange)
            else -> runOnce(exchange)
        }
    }

    private fun report(exchange: CallerExchange) {
        val body = buildJsonObject {
            put("stage", "combined")
            putJsonArray("models") {}
            put("busy", false)
            put("seq", orders)
            put("queued", 0)
            put("active", running)
            describe()
        }
        exchange.respond(OK, DefaultHttpHeaders(), body.toString().toByteArray())
    }

    private fun order(exchange: CallerExchange) {
        val order = Json.parseToJsonElement(exchange.body.decodeToString()).jsonObject
        val status = if (order.getValue("expected-rev").jsonPrimitive.long != orders) CONFLICT else carryOut(order)
        exchange.respond(status, DefaultHttpHeaders(), ByteArray(0))
        list()
    }

    private fun carryOut(order: JsonObject): Int {
        val group = order["group"]?.jsonPrimitive?.content.orEmpty()
        val epoch = order["epoch"]?.jsonPrimitive?.long ?: 0
        val isMine = membership?.let { it.group == group && it.epoch == epoch } == true
        return when (order.getValue("operation").jsonPrimitive.content) {
            "join" -> join(
                GroupList(group, epoch, order.getValue("members").jsonArray.map { it.jsonPrimitive.content }),
                order.getValue("model").jsonPrimitive.content,
            )
            "open" -> if (isMine) open() else CONFLICT
            "close" -> if (isMine) close() else CONFLICT
            "leave" -> {
                orders++
                if (isMine) membership = null
                OK
            }
            "stage" -> {
                orders++
                val model = order.getValue("model").jsonPrimitive.content
                after(LOAD_MILLIS) {
                    staged = model
                    list()
                }
                ACCEPTED
            }
            else -> BAD_REQUEST
        }
    }

    private fun join(next: GroupList, model: String): Int {
        val current = membership
        val isSameName = current?.group == next.group && current.epoch == next.epoch
        if (next.epoch < highestEpoch || (isSameName && current != next)) return PRECONDITION_FAILED
        val head = current?.takeIf { it != next }?.let { fabric.engines[it.members.first()] }
        if (head != null && head.membership == current && head.phase in setOf("open", "closing")) {
            fabric.findings += "TWO: $id joins ${next.group} while the head of ${current.group} is ${head.phase}"
        }
        orders++
        highestEpoch = next.epoch
        membership = next
        phase = "joining"
        after(if (staged == model) JOIN_MILLIS else LOAD_MILLIS) {
            if (membership == next) {
                staged = model
                phase = "ready"
                fabric.readyUnder.getOrPut(id, ::mutableSetOf) += next
                list()
            }
        }
        return ACCEPTED
    }

    private fun open(): Int {
        val opened = membership
        if (phase != "ready" || opened?.members?.first() != id) return CONFLICT
        orders++
        after(OPEN_MILLIS) {
            if (membership == opened) {
                phase = "open"
                stalledSince = 0
                list()
            }
        }
        return ACCEPTED
    }

    private fun close(): Int {
        if (phase != "open") return CONFLICT
        orders++
        phase = "closing"
        finishClosing()
        return ACCEPTED
    }

    private fun finishClosing() {
        if (phase == "closing" && running == 0) {
            phase = "ready"
            list()
        }
    }

    /** Whether every member is there, as the head sees it. */
    private fun isWhole(list: GroupList): Boolean = list.members.all { member ->
        fabric.engines[member]?.let { it.membership == list && it.link.fault != LinkFault.SILENT } == true
    }

    private fun generate(exchange: CallerExchange) {
        val list = membership
        if (list == null || list.members.first() != id || phase != "open") return decline(exchange, MISDIRECTED)
        if (running >= SLOTS * 2) return decline(exchange, UNAVAILABLE)
        for (member in list.members) {
            if (list !in fabric.readyUnder[member].orEmpty()) {
                fabric.findings += "PARTIAL: ${list.group} runs a request, and $member was never ready in it"
            }
        }
        val headers = exchange.head.headers
        countRun(headers)
        running++
        exchange.onDisconnect = { ended() }
        exchange.beginStream(OK, signed(headers))
        val from = headers.get("Last-Event-Id")?.toInt() ?: 0
        emit(exchange, list, from + 1, headers.get("Token-Counts").substringAfter(',').toInt())
    }

    private fun emit(exchange: CallerExchange, list: GroupList, event: Int, last: Int) {
        after(STEP_MILLIS) {
            when {
                exchange.isFinished -> Unit
                membership != list || phase == "broken" -> breakOff(exchange)
                !isWhole(list) -> {
                    val now = System.nanoTime()
                    if (stalledSince == 0L) stalledSince = now
                    if (now - stalledSince > TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS)) {
                        phase = "broken"
                        list()
                    }
                    emit(exchange, list, event, last)
                }
                event > last -> {
                    exchange.endStream()
                    ended()
                }
                else -> {
                    exchange.write("id: $event\ndata: ${content(exchange.head.target, event)}\n\n".toByteArray())
                    emit(exchange, list, event + 1, last)
                }
            }
        }
    }

    private fun breakOff(exchange: CallerExchange) {
        exchange.abort()
        ended()
    }

    private fun ended() {
        running--
        finishClosing()
    }

    private fun runOnce(exchange: CallerExchange) {
        if (running >= SLOTS) return decline(exchange, UNAVAILABLE)
        val headers = exchange.head.headers
        countRun(headers)
        fabric.lastService[exchange.head.target.substringBeforeLast('/')] = place.service
        running++
        after(WORK_MILLIS) {
            running--
            if (losesAnswers) {
                exchange.abort()
            } else {
                exchange.respond(OK, signed(headers), content(exchange.head.target, 0).toByteArray())
            }
        }
    }

    private fun countRun(headers: HttpHeaders) {
        fabric.runs.merge(headers.get("Attempt-Id"), 1, Int::plus)
        if (headers.get("Tenant") != TENANT || headers.contains("Authorization")) {
            fabric.findings += "UNASKED: tenant ${headers.get("Tenant")}, key passed on"
        }
    }

    private fun signed(request: HttpHeaders): HttpHeaders = DefaultHttpHeaders()
        .add("Attempt-Id", request.get("Attempt-Id"))
        .add("Server-Stamp", "$id.$born")

    private fun decline(exchange: CallerExchange, status: Int) {
        val headers = DefaultHttpHeaders().add("Not-Executed", "1")
        exchange.head.headers.get("Attempt-Id")?.let { headers.add("Attempt-Id", it) }
        exchange.respond(status, headers, ByteArray(0))
    }

    companion object {
        const val TENANT = "clinic"

        /** What an engine answers, so that callers can tell a wrong or a joined answer. */
        fun content(target: String, event: Int): String = "%08x".format("$target#$event".hashCode())

        private const val SLOTS = 12
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

        /** A head finds this long after it lost a member that its group is broken; `stall-ms` of the settings. */
        const val STALL_MILLIS = 2000L
    }
}
