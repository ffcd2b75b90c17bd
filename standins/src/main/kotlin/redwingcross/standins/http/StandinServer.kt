package redwingcross.standins.http

import io.undertow.Undertow
import io.undertow.server.HttpServerExchange
import io.undertow.util.AttachmentKey
import io.undertow.util.HttpString
import io.undertow.util.SameThreadExecutor
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.xnio.IoUtils
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration

/** What a stand-in does with one request. */
sealed interface StandinReply {
    data class Answer(val response: Response) : StandinReply

    /** The connection is closed without an answer. */
    data object Cut : StandinReply

    /** The connection stays open and never carries another byte. */
    data object Silent : StandinReply
}

/** Number of a connection in the order of their first requests; identifies connections that were opened earlier. */
@JvmInline
value class ConnectionNumber(val value: Long)

/** Answers one request; it runs on the server's single event loop, which therefore owns the state of the stand-in. */
typealias StandinHandler = suspend (Request, ConnectionNumber) -> StandinReply

/**
 * An HTTP server on the loopback interface whose handlers suspend, so that a waiting long poll holds no thread.
 *
 * All handlers run on one event loop: the state of a stand-in needs no locks.
 */
class StandinServer(private val requestedPort: Int, private val handler: StandinHandler) {
    private val loop = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
    private val connectionNumber = AttachmentKey.create(ConnectionNumber::class.java)
    private var connections = 0L
    private val undertow: Undertow =
        Undertow.builder()
            .addHttpListener(requestedPort, "127.0.0.1")
            .setIoThreads(2)
            .setWorkerThreads(2)
            .setHandler(::receive)
            .build()

    /** Bound port; it differs from the requested one when that was 0. */
    val port: Int get() = (undertow.listenerInfo.single().address as InetSocketAddress).port

    fun start(): StandinServer = apply { undertow.start() }

    fun stop() {
        loop.cancel()
        undertow.stop()
    }

    /** Runs [action] on the event loop after [wait]. */
    fun later(wait: Duration, action: () -> Unit) {
        loop.launch {
            delay(wait)
            action()
        }
    }

    private fun receive(exchange: HttpServerExchange) {
        exchange.requestReceiver.receiveFullBytes { complete, bytes ->
            complete.dispatch(SameThreadExecutor.INSTANCE, Runnable { loop.launch { answer(complete, bytes) } })
        }
    }

    private suspend fun answer(exchange: HttpServerExchange, bytes: ByteArray) =
        when (val reply = handler(exchange.toRequest(bytes), exchange.number())) {
            is StandinReply.Answer -> exchange.send(reply.response)
            StandinReply.Cut -> IoUtils.safeClose(exchange.connection)
            StandinReply.Silent -> awaitCancellation()
        }

    private fun HttpServerExchange.number(): ConnectionNumber = connection.getAttachment(connectionNumber)
        ?: ConnectionNumber(++connections).also { connection.putAttachment(connectionNumber, it) }
}

private fun HttpServerExchange.toRequest(bytes: ByteArray): Request {
    val target = requestURI + (if (queryString.isEmpty()) "" else "?$queryString")
    val headers = requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }
    return Request(Method.valueOf(requestMethod.toString()), target)
        .headers(headers)
        .body(MemoryBody(ByteBuffer.wrap(bytes)))
}

private fun HttpServerExchange.send(response: Response) {
    statusCode = response.status.code
    response.headers.forEach { (name, value) -> responseHeaders.put(HttpString(name), value.orEmpty()) }
    if (response.status == Status.NO_CONTENT) endExchange() else responseSender.send(response.body.payload)
}
