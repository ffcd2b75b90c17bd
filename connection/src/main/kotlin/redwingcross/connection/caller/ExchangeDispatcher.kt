package redwingcross.connection.caller

import io.undertow.io.Receiver
import io.undertow.server.HttpServerExchange
import io.undertow.server.RequestTooBigException
import io.undertow.util.HttpString
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.xnio.IoUtils
import redwingcross.request.eventLine
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Receives the body of each request on an I/O thread and runs the handler on a worker thread. An exchange holds a
 * permit from its request head to the last byte of its response, which bounds the concurrent exchanges and lets
 * [drain] wait for them.
 */
internal class ExchangeDispatcher(
    private val settings: CallerServerSettings,
    private val writer: ResponseWriter,
    private val http: HttpHandler,
) : io.undertow.server.HttpHandler {
    private val permits = Semaphore(settings.maxExchanges)
    private val isDraining = AtomicBoolean(false)
    private val threadNumber = AtomicInteger()
    private val workers = Executors.newFixedThreadPool(settings.maxExchanges) { task ->
        Thread(task, "exchange-${threadNumber.incrementAndGet()}").apply { isDaemon = true }
    }

    /** Refuses new exchanges and waits for the running ones; false if any still runs after [timeout]. */
    fun drain(timeout: Duration): Boolean {
        isDraining.set(true)
        val isDrained = permits.tryAcquire(settings.maxExchanges, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        workers.shutdown()
        return isDrained
    }

    override fun handleRequest(exchange: HttpServerExchange) {
        when {
            isDraining.get() -> refuse(exchange, ServerRefusal.SHUTTING_DOWN)
            exchange.requestContentLength > settings.maxBodyBytes -> refuse(exchange, ServerRefusal.BODY_TOO_LARGE)
            !permits.tryAcquire() -> refuse(exchange, ServerRefusal.TOO_MANY_EXCHANGES)
            else -> receive(exchange)
        }
    }

    private fun receive(exchange: HttpServerExchange) {
        // Without this timer, a caller that sends its body very slowly would hold a permit for hours.
        val timer = exchange.ioThread.executeAfter(
            { IoUtils.safeClose(exchange.connection) },
            settings.receiveTimeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        val receiver = exchange.requestReceiver
        receiver.setMaxBufferSize(settings.maxBodyBytes.toInt())
        receiver.receiveFullBytes(
            { received, body ->
                timer.remove()
                received.dispatch(workers, Runnable { run(received, body) })
            },
            { failed, failure ->
                timer.remove()
                permits.release()
                val isTooLarge = failure is Receiver.RequestToLargeException || failure is RequestTooBigException
                refuse(failed, if (isTooLarge) ServerRefusal.BODY_TOO_LARGE else ServerRefusal.BODY_BROKEN)
            },
        )
    }

    private fun run(exchange: HttpServerExchange, body: ByteArray) {
        try {
            if (isDraining.get()) exchange.isPersistent = false
            writer.write(exchange, respond(exchange, body))
        } finally {
            permits.release()
        }
    }

    private fun respond(exchange: HttpServerExchange, body: ByteArray): Response =
        runCatching { http(exchange.toRequest(body)) }.getOrElse { failure ->
            callerLog.error(failure) { eventLine("handler_failed", "path" to exchange.requestPath) }
            ServerRefusal.HANDLER_FAILED.toResponse()
        }

    /** Responds on the I/O thread without running the handler, and closes the connection afterwards. */
    private fun refuse(exchange: HttpServerExchange, refusal: ServerRefusal) {
        val response = refusal.toResponse()
        exchange.isPersistent = false
        exchange.statusCode = response.status.code
        response.headers.forEach { (name, value) ->
            exchange.responseHeaders.put(HttpString(name), value.orEmpty())
        }
        exchange.responseSender.send(response.body.payload)
    }
}
