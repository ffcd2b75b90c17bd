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

/** How a stand-in responds to one request. */
sealed interface StandinReply {
    data class Respond(val response: Response) : StandinReply

    /** The connection is closed without a response. */
    data object Cut : StandinReply

    /** The connection stays open, and nothing more is sent on it. */
    data object Silent : StandinReply
}

/** Sequence number of a connection, in the order of the first requests; tells which connections are older. */
@JvmInline
value class ConnectionNumber(val value: Long)

/** Handles one request on the server's single event loop, which owns the state of the stand-in. */
typealias StandinHandler = suspend (Request, ConnectionNumber) -> StandinReply

/**
 * HTTP server on the loopback interface whose handlers suspend, so that a waiting long poll blocks no thread.
 *
 * All handlers run on one event loop, so the state of a stand-in needs no locks.
 */
class StandinServer(private val requestedPort: Int, private val handler: StandinHandler) {
    private val loop = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
    private val connectionNumberKey = AttachmentKey.create(ConnectionNumber::class.java)
    private var connectionCount = 0L
    private val undertow: Undertow =
        Undertow.builder()
            .addHttpListener(requestedPort, "127.0.0.1")
            .setIoThreads(2)
            .setWorkerThreads(2)
            .setHandler(::receive)
            .build()

    /** Bound port; differs from the requested port if that was 0. */
    val port: Int get() = (undertow.listenerInfo.single().address as InetSocketAddress).port

    fun start(): StandinServer = apply { undertow.start() }

    fun stop() {
        loop.cancel()
        undertow.stop()
    }

    /** Runs [action] on the event loop after [wait]. */
    fun schedule(wait: Duration, action: () -> Unit) {
        loop.launch {
            delay(wait)
            action()
        }
    }

    private fun receive(exchange: HttpServerExchange) {
        exchange.requestReceiver.receiveFullBytes { complete, bytes ->
            complete.dispatch(SameThreadExecutor.INSTANCE, Runnable { loop.launch { respond(complete, bytes) } })
        }
    }

    private suspend fun respond(exchange: HttpServerExchange, bytes: ByteArray) =
        when (val reply = handler(exchange.toRequest(bytes), exchange.number())) {
            is StandinReply.Respond -> exchange.send(reply.response)
            StandinReply.Cut -> IoUtils.safeClose(exchange.connection)
            StandinReply.Silent -> awaitCancellation()
        }

    private fun HttpServerExchange.number(): ConnectionNumber = connection.getAttachment(connectionNumberKey)
        ?: ConnectionNumber(++connectionCount).also { connection.putAttachment(connectionNumberKey, it) }
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
