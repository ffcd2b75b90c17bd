package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import redwingcross.request.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How an exchange with a back end failed. */
enum class ExchangeFailure {
    /** No connection was made, so nothing was sent. */
    NOT_CONNECTED,

    /** The connection ended before the whole answer had arrived. */
    CONNECTION_LOST,

    /** Bytes arrived that are not an answer in the protocol. */
    MALFORMED,

    /** The time for the exchange was over. */
    TIMEOUT,
}

/** Receives the answer of one exchange, on the event loop. */
interface AnswerListener {
    fun onHead(head: AnswerHead)

    fun onData(bytes: ByteArray)

    /** The whole answer has arrived. */
    fun onEnd()

    fun onFailure(failure: ExchangeFailure)
}

/** Whether the head of an answer belongs to the exchange that awaits it. */
typealias MatchAnswer = (AnswerHead) -> Boolean

/**
 * One connection to a back end, a peer's HTTP address or the store; it owns the socket and carries one exchange at a
 * time. An answer that doesn't match the exchange is read and dropped, and the right one is awaited.
 */
class BackendConnection internal constructor(
    private val channel: Channel,
    private val clock: MonotonicClock,
    private val onIdle: (BackendConnection) -> Unit,
    private val onClosed: (BackendConnection) -> Unit,
) {
    private var listener: AnswerListener? = null
    private var matches: MatchAnswer = { true }
    private var answer: HttpResponse? = null
    private var dropping = false
    private var requestWritten = true
    private var reset = false

    /** When the connection last finished an exchange. */
    var idleSince: Duration = clock.now()
        private set

    /** How long the other end keeps an idle connection, as it last said. */
    var keepAliveFor: Duration = DEFAULT_KEEP_ALIVE
        private set

    /** Whether another exchange may be sent. */
    val isIdle: Boolean get() = channel.isActive && listener == null && requestWritten

    internal val handler: ChannelInboundHandlerAdapter = Handler()

    /** Sends a request; [listener] receives the first answer for which [matches] holds. */
    fun send(head: RequestHead, body: ByteArray, matches: MatchAnswer, listener: AnswerListener) {
        this.listener = listener
        this.matches = matches
        answer = null
        dropping = false
        requestWritten = false
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(head.method),
            head.target,
            Unpooled.wrappedBuffer(body),
            head.headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
        )
        if (body.isNotEmpty() || head.method !in methodsWithoutBody) {
            head.headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        channel.writeAndFlush(request).addListener { written ->
            requestWritten = written.isSuccess
            if (!written.isSuccess) channel.close()
        }
    }

    /** Stops reading until [resumeReading], while the caller doesn't take what was read. */
    fun pauseReading() {
        channel.config().isAutoRead = false
    }

    fun resumeReading() {
        channel.config().isAutoRead = true
    }

    /** Gives the exchange up and ends the connection, which cancels the work at the back end. */
    fun cancel() {
        listener = null
        channel.closeWithReset()
    }

    /** Ends an idle connection. */
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

    private fun onHead(response: HttpResponse) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            dropping = true
            return
        }
        answer = response
        val head = AnswerHead(response.status().code(), response.headers())
        dropping = !matches(head)
        if (!dropping) listener?.onHead(head)
    }

    private fun onContent(content: ByteBuf) {
        if (dropping || !content.isReadable) return
        listener?.onData(ByteBufUtil.getBytes(content))
    }

    private fun onLast() {
        val finished = answer
        answer = null
        if (dropping) {
            dropping = false
            if (finished != null && !HttpUtil.isKeepAlive(finished)) fail(ExchangeFailure.CONNECTION_LOST)
            return
        }
        val current = listener ?: return
        listener = null
        val reusable = finished != null && HttpUtil.isKeepAlive(finished) && requestWritten && channel.isActive
        idleSince = clock.now()
        keepAliveFor = finished?.headers()?.let(::statedKeepAlive) ?: DEFAULT_KEEP_ALIVE
        if (reusable) onIdle(this) else channel.close()
        current.onEnd()
    }

    private fun statedKeepAlive(headers: io.netty.handler.codec.http.HttpHeaders): Duration? = headers.get("Keep-Alive")
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
                    // Bytes after a whole answer belong to no exchange and make the connection unusable.
                    listener == null && !dropping -> channel.close()
                    part.decoderResult().isFailure -> fail(if (reset) lost else ExchangeFailure.MALFORMED)
                    else -> {
                        if (part is HttpResponse) onHead(part)
                        if (part is HttpContent) onContent(part.content())
                        if (part is LastHttpContent && !reset) onLast()
                    }
                }
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            onClosed(this@BackendConnection)
            fail(ExchangeFailure.CONNECTION_LOST)
        }

        @Deprecated("Netty still reports errors of a channel through this method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // An answer without a length that ends with a reset is not complete.
            reset = true
            context.close()
        }
    }

    private companion object {
        /** Back ends that state no time are assumed to keep idle connections this long. */
        val DEFAULT_KEEP_ALIVE = 2.seconds
        val methodsWithoutBody = setOf("GET", "HEAD", "DELETE")
        val lost = ExchangeFailure.CONNECTION_LOST
    }
}
