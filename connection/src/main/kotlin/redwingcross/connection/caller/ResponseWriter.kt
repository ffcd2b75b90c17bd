package redwingcross.connection.caller

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.http4k.core.Response
import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Writes http4k responses to callers' connections. Each part read from a streaming body is flushed immediately.
 *
 * @param writeStallTimeout time without write progress after which the connection is closed
 */
internal class ResponseWriter(private val writeStallTimeout: Duration, private val clock: MonotonicClock) {
    /** Writes the whole response on the calling worker thread; an I/O failure closes the connection. */
    fun write(exchange: HttpServerExchange, response: Response) {
        try {
            response.use { writeHeadAndBody(exchange, it) }
            exchange.endExchange()
        } catch (failure: IOException) {
            callerLog.debug { eventLine("caller_disconnected", "peer" to exchange.sourceAddress, "cause" to failure) }
            IoUtils.safeClose(exchange.connection)
        }
    }

    private fun writeHeadAndBody(exchange: HttpServerExchange, response: Response) {
        exchange.statusCode = response.status.code
        response.headers.forEach { (name, value) -> exchange.responseHeaders.add(HttpString(name), value.orEmpty()) }
        val length = response.body.length
        if (length != null && !exchange.responseHeaders.contains(Headers.CONTENT_LENGTH)) {
            exchange.responseContentLength = length
        }
        val channel = exchange.responseChannel ?: throw IOException("the exchange has no response channel")
        response.body.stream.use { body ->
            val buffer = ByteArray(BUFFER_BYTES)
            var count = body.read(buffer)
            while (count >= 0) {
                writeFully(channel, ByteBuffer.wrap(buffer, 0, count))
                flushFully(channel)
                count = body.read(buffer)
            }
        }
        channel.shutdownWrites()
        flushFully(channel)
    }

    private fun writeFully(channel: StreamSinkChannel, bytes: ByteBuffer) {
        var lastProgress = clock.now()
        while (bytes.hasRemaining()) {
            if (channel.write(bytes) > 0) lastProgress = clock.now() else awaitWritable(channel, lastProgress)
        }
    }

    private fun flushFully(channel: StreamSinkChannel) {
        val start = clock.now()
        while (!channel.flush()) awaitWritable(channel, start)
    }

    private fun awaitWritable(channel: StreamSinkChannel, lastProgress: Duration) {
        val remaining = lastProgress + writeStallTimeout - clock.now()
        if (!remaining.isPositive()) throw IOException("no write progress to the caller for $writeStallTimeout")
        channel.awaitWritable(remaining.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val BUFFER_BYTES = 8192
    }
}
