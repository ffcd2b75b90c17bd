package redwingcross.standins.engine

import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import io.undertow.util.SameThreadExecutor
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.xnio.IoUtils
import java.io.IOException

private const val MAX_BODY_BYTES = 1_048_576
private const val STATUS_BAD_REQUEST = 400
private const val STATUS_CONFLICT = 409

/**
 * Handles `POST /v1/chat/completions` in Undertow directly, because each event must be flushed at once. The http4k
 * server buffers the whole body before it sends it, so a stream would arrive as a single response at its end.
 */
internal class ChatEndpoint(
    private val task: EngineTask,
    private val gate: FaultGate,
    private val check: MemberCheck,
    private val scope: CoroutineScope,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        exchange.dispatch(
            SameThreadExecutor.INSTANCE,
            Runnable {
                exchange.startBlocking()
                scope.launch { serve(exchange) }
            },
        )
    }

    private suspend fun serve(exchange: HttpServerExchange) {
        try {
            val chat = exchange.requestHeaders.toChatHeaders()
            val body = parseChatBody(exchange.inputStream.readNBytes(MAX_BODY_BYTES).decodeToString())
            when (val decision = gate.admit(stream = true)) {
                GateDecision.Close -> exchange.abort()
                GateDecision.HoldOpen -> gate.holdOpen(exchange)
                is GateDecision.Proceed ->
                    when (body) {
                        null -> exchange.respond(STATUS_BAD_REQUEST, "malformed chat request body")
                        else -> admitChat(exchange, chat, body, decision.fault)
                    }
            }
        } catch (_: IOException) {
            exchange.abort()
        }
    }

    private suspend fun admitChat(
        exchange: HttpServerExchange,
        chat: ChatHeaders,
        body: ChatBody,
        fault: RequestFault,
    ) {
        val order = task.read { state, _ -> state.order }
        val problem = order?.takeIf { it.rank == 0 }?.let { check.problem(it) }
        if (problem != null) return exchange.respond(STATUS_CONFLICT, problem)
        val admission =
            task.execute { state, now ->
                if (state.order == order) {
                    state.admit(chat, now)
                } else {
                    state to Admission.Refused(STATUS_CONFLICT, "the order changed while the members were checked")
                }
            }
        when (admission) {
            is Admission.Refused -> exchange.respond(admission.status, admission.reason)
            Admission.Crashed -> exchange.abort()
            is Admission.Run -> run(exchange, chat, body, admission, fault)
        }
    }

    private suspend fun run(
        exchange: HttpServerExchange,
        chat: ChatHeaders,
        body: ChatBody,
        admission: Admission.Run,
        fault: RequestFault,
    ) {
        val members = task.read { state, _ -> state.order?.members.orEmpty() }
        if (fault != RequestFault.LOSE_ANSWER) addHeaders(exchange, chat, admission, fault)
        val stream = ChatStream(exchange, task, gate, check, members, admission.key, fault)
        val end = stream.send(tokens(body, fault), chat.resumeOffset)
        task.change { state, now -> state.endRun(admission.key, end, now) }
        if (end == RunEnd.COMPLETED && fault != RequestFault.LOSE_ANSWER) exchange.endExchange() else exchange.abort()
    }

    private suspend fun tokens(body: ChatBody, fault: RequestFault): TokenSequence {
        val length = body.maxTokens ?: task.read { state, _ -> state.settings.defaultTokens }
        val prompt = if (fault == RequestFault.CROSS) "another ${body.prompt}" else body.prompt
        return TokenSequence(body.model, prompt, length)
    }

    private suspend fun addHeaders(
        exchange: HttpServerExchange,
        chat: ChatHeaders,
        admission: Admission.Run,
        fault: RequestFault,
    ) {
        val (uptime, load) = task.read { state, now -> state.uptime(now) to state.running.size }
        val attempt = if (fault == RequestFault.CROSS) "crossed-${admission.key}" else chat.attempt
        with(exchange.responseHeaders) {
            put(HttpString("Content-Type"), "text/event-stream")
            put(HttpString("Cache-Control"), "no-cache")
            put(HttpString("X-Attempt-Id"), attempt)
            put(HttpString("X-Boot-Id"), admission.bootId)
            put(HttpString("X-Uptime-Millis"), uptime.inWholeMilliseconds.toString())
            put(HttpString("X-Load"), load.toString())
        }
    }

    private suspend fun HttpServerExchange.respond(status: Int, reason: String) {
        val bootId = task.read { state, _ -> state.bootId }
        statusCode = status
        responseHeaders.put(HttpString("Content-Type"), "text/plain")
        responseHeaders.put(HttpString("X-Boot-Id"), bootId)
        responseHeaders.put(HttpString("X-Attempt-Id"), requestHeaders.getFirst("X-Attempt-Id").orEmpty())
        outputStream.write("$reason\n".encodeToByteArray())
        endExchange()
    }
}

/** Closes the connection without completing the response. */
internal fun HttpServerExchange.abort() {
    IoUtils.safeClose(connection)
}
