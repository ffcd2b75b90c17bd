package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.CodecException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why an exchange with a remote endpoint failed. */
enum class ExchangeFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED,

    /** The connection closed before the response was complete. */
    CONNECTION_LOST,

    /** The received bytes are not a valid HTTP response. */
    MALFORMED,

    /** The response was not complete within the timeout. */
    TIMEOUT,
}

/** Receives the response of one exchange. All methods are called on the event loop of the connection. */
interface ResponseListener {
    fun onHead(head: ResponseHead)

    fun onData(bytes: ByteArray)

    /** The response is complete. */
    fun onEnd()

    fun onFailure(failure: ExchangeFailure)

    /** This process failed to handle the exchange, because of [cause]; the request may have been sent. */
    fun onError(cause: Throwable)
}

/** Returns whether a response with this head belongs to the exchange that awaits a response. */
typealias ResponseMatcher = (ResponseHead) -> Boolean

/**
 * One HTTP/1.1 connection to a remote endpoint, such as a back end, an engine's control address or the store.
 *
 * It owns the socket and carries one exchange at a time. A response that doesn't match the current exchange is read and
 * discarded, and the connection waits for the matching one. Not thread-safe: all methods are called on the event loop
 * of the connection.
 */
class BackendConnection internal constructor(
    private val channel: Channel,
    maximumHeadBytes: Int,
    private val clock: MonotonicClock,
    private val onResponse: (ResponseHead) -> Unit,
    private val onIdle: (BackendConnection) -> Unit,
    private val onClosed: (BackendConnection) -> Unit,
) {
    private var listener: ResponseListener? = null
    private var matches: ResponseMatcher = { true }
    private var answer: HttpResponse? = null
    private var isDelimitedByClose = false
    private var discarding = false

    /** Whether an earlier exchange used the connection, so that bytes of its response may still be received. */
    private var isReused = false

    /** Size of the responses that were discarded during the current exchange; an estimate for their heads. */
    private var discardedBytes = 0
    private var requestWritten = true
    private val input = InputEnd()

    /** Time at which the connection last finished an exchange, or at which it was created. */
    var idleSince: Duration = clock.now()
        private set

    /** How long the remote end keeps an idle connection, from the `Keep-Alive` header of its last response. */
    var keepAliveTimeout: Duration = DEFAULT_KEEP_ALIVE
        private set

    /** Whether another exchange can be sent on this connection. */
    val isIdle: Boolean
        get() = channel.isActive && listener == null && requestWritten && !decoder.hasUndecodedBytes

    internal val decoder = ResponseDecoder(maximumHeadBytes, { listener != null || discarding }, input::closed)
    internal val handler: ChannelInboundHandlerAdapter = Handler()

    /** Sends a request; [listener] receives the first response for which [matches] returns true. */
    fun send(head: RequestHead, body: ByteArray, matches: ResponseMatcher, listener: ResponseListener) {
        this.listener = listener
        this.matches = matches
        answer = null
        discarding = false
        discardedBytes = 0
        requestWritten = false
        if (body.isNotEmpty() || head.method !in methodsWithoutBody) {
            head.headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        val writer = RequestWriter(channel, body, ::onWritten)
        runCatching { writer.write(head) }.onFailure(::error)
    }

    /** After a failed write, the response is still read: the remote end may have sent it and closed its side before. */
    private fun onWritten(failure: Throwable?) {
        requestWritten = failure == null
        when (failure) {
            null -> Unit
            is IOException -> input.writeFailed(failure)
            else -> channel.close()
        }
    }

    /** Stops reading until [resumeReading] is called; applies backpressure while the caller reads too slowly. */
    fun pauseReading() {
        channel.config().isAutoRead = false
    }

    fun resumeReading() {
        channel.config().isAutoRead = true
    }

    /** Cancels the exchange and resets the connection, which cancels the work at the back end. */
    fun cancel() {
        listener = null
        channel.closeWithReset()
    }

    /** Closes an idle connection. */
    fun close() {
        listener = null
        channel.close()
    }

    private fun fail(failure: ExchangeFailure) {
        val current = listener
        listener = null
        channel.close()
        current?.onFailure(failure)
    }

    /** Ends the exchange because of a failure of this process, which says nothing about the remote end. */
    private fun error(cause: Throwable) {
        val current = listener
        listener = null
        channel.closeWithReset()
        if (current == null) httpLog.error(cause) { eventLine("call_failed") } else current.onError(cause)
    }

    private fun onHead(response: HttpResponse) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            discarding = true
            discard(ASSUMED_HEAD_BYTES)
            return
        }
        if (isReused && response.containsStatusLine()) return fail(ExchangeFailure.MALFORMED)
        answer = response
        val head = ResponseHead(response.status().code(), response.headers(), isFirstOnConnection = !isReused)
        isDelimitedByClose = head.isDelimitedByClose
        onResponse(head)
        discarding = !matches(head)
        if (discarding) discard(ASSUMED_HEAD_BYTES) else listener?.onHead(head)
    }

    /** Gives up a connection on which a faulty server sends responses without end that belong to no exchange. */
    private fun discard(bytes: Int) {
        discardedBytes += bytes
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) fail(ExchangeFailure.MALFORMED)
    }

    private fun onContent(content: ByteBuf) {
        if (!content.isReadable) return
        if (discarding) return discard(content.readableBytes())
        listener?.onData(ByteBufUtil.getBytes(content))
    }

    private fun onResponseEnd() {
        val finished = answer
        answer = null
        if (discarding) {
            discarding = false
            if (finished != null && !HttpUtil.isKeepAlive(finished)) fail(ExchangeFailure.CONNECTION_LOST)
            return
        }
        val current = listener ?: return
        listener = null
        isReused = true
        val reusable = finished != null && HttpUtil.isKeepAlive(finished) && requestWritten && channel.isActive
        idleSince = clock.now()
        keepAliveTimeout = finished?.headers()?.let(::parseKeepAliveTimeout) ?: DEFAULT_KEEP_ALIVE
        // The response is complete, also if the connection can't be kept.
        runEvery({ if (reusable) onIdle(this) else channel.close() }, current::onEnd)
    }

    private fun parseKeepAliveTimeout(headers: io.netty.handler.codec.http.HttpHeaders): Duration? =
        headers.get("Keep-Alive")
            ?.split(',')
            ?.firstOrNull { it.trim().startsWith("timeout=") }
            ?.substringAfter('=')
            ?.trim()
            ?.toIntOrNull()
            ?.seconds

    private inner class Handler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                val part = message as HttpObject
                when {
                    // Bytes after a complete response belong to no exchange, so the connection can't be reused.
                    listener == null && !discarding -> channel.close()
                    part.decoderResult().isFailure -> fail(if (input.wasReset) lost else ExchangeFailure.MALFORMED)
                    else -> {
                        if (part is HttpResponse) onHead(part)
                        if (part is HttpContent) onContent(part.content())
                        if (part is LastHttpContent && isWhole()) onResponseEnd()
                    }
                }
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        /** The decoder also ends a response without a length when the channel closes for another reason. */
        private fun isWhole() = !isDelimitedByClose || input.isClosedInOrder

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) fail(ExchangeFailure.CONNECTION_LOST)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            onClosed(this@BackendConnection)
            fail(ExchangeFailure.CONNECTION_LOST)
        }

        @Deprecated("Netty still reports channel errors through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            input.readFailed()
            if (cause is IOException || cause is CodecException) context.close() else error(cause)
        }
    }

    private companion object {
        /** Assumed for remote ends whose responses state no keep-alive timeout. */
        val DEFAULT_KEEP_ALIVE = 2.seconds

        /** A late or extra response is seldom longer; reading more of it costs more than a new connection. */
        const val MAXIMUM_DISCARDED_BYTES = 1_048_576
        const val ASSUMED_HEAD_BYTES = 4096
        val methodsWithoutBody = setOf("GET", "HEAD", "DELETE")
        val lost = ExchangeFailure.CONNECTION_LOST
    }
}
