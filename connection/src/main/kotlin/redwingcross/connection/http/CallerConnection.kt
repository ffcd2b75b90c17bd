package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** Bounds on what a caller may send on one connection. */
data class CallerBounds(val bodyBytes: Long, val headTimeout: Duration, val idleTimeout: Duration)

/** Serves one request; the answer goes through the exchange, now or later on the same event loop. */
typealias ServeExchange = (CallerExchange) -> Unit

/**
 * One connection of a caller. It owns the socket, reads one request at a time and keeps reading while the answer is
 * under way, so that the caller's leaving is seen at once. Requests that arrive early wait in order.
 */
internal class CallerConnection(
    private val listener: CallerListener,
    private val bounds: () -> CallerBounds,
    private val serve: ServeExchange,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val early = ArrayDeque<HttpObject>()
    private var earlyBytes = 0
    private var request: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var exchange: CallerExchange? = null
    private var discarding = false
    private var waitingSince = listener.now()
    private var partialSince: Duration? = null

    /** Whether the connection ends after the answer that is under way. */
    val isClosing: Boolean get() = listener.isClosing

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        listener.opened(this)
        context.fireChannelActive()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        listener.closed(this)
        early.forEach(ReferenceCountUtil::release)
        early.clear()
        exchange?.callerLeft()
        context.fireChannelInactive()
    }

    /** Notes that bytes arrived, before they are decoded. */
    fun bytesArrived() {
        if (exchange == null && partialSince == null) partialSince = listener.now()
        waitingSince = listener.now()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        if (exchange == null && early.isEmpty()) accept(part) else keepForLater(part)
    }

    private fun keepForLater(part: HttpObject) {
        early.addLast(part)
        earlyBytes += (part as? HttpContent)?.content()?.readableBytes() ?: HEAD_ESTIMATE_BYTES
        if (earlyBytes > MAXIMUM_EARLY_BYTES) context.channel().config().isAutoRead = false
    }

    private fun accept(part: HttpObject) {
        try {
            when {
                discarding -> Unit
                part.decoderResult().isFailure -> reject(part.decoderResult().cause())
                else -> {
                    if (part is HttpRequest) begin(part)
                    if (part is HttpContent && request != null) append(part)
                }
            }
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun begin(part: HttpRequest) {
        request = part
        body = ByteArrayOutputStream(0)
        partialSince = null
        val declared = HttpUtil.getContentLength(part, 0L)
        when {
            part.protocolVersion().majorVersion() != 1 -> refuse(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED)
            part.headers().getAll(HttpHeaderNames.HOST).size > 1 -> refuse(HttpResponseStatus.BAD_REQUEST)
            declared > bounds().bodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            HttpUtil.is100ContinueExpected(part) -> context.writeAndFlush(CONTINUE.retainedDuplicate())
            else -> Unit
        }
    }

    private fun append(part: HttpContent) {
        val content: ByteBuf = part.content()
        if (body.size() + content.readableBytes() > bounds().bodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        content.readBytes(body, content.readableBytes())
        if (part is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val head = request ?: return
        request = null
        val next = CallerExchange(
            context.channel(),
            this,
            RequestHead(head.method().name(), head.uri(), head.headers()),
            body.toByteArray(),
            head.protocolVersion(),
            HttpUtil.isKeepAlive(head),
        )
        body = ByteArrayOutputStream(0)
        exchange = next
        serve(next)
    }

    private fun reject(cause: Throwable?) {
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        refuse(if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST)
    }

    private fun refuse(status: HttpResponseStatus) {
        discarding = true
        request = null
        listener.refused(status.code())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Writes the last part of an answer and goes on with the next request. */
    fun finishWith(part: Any, close: Boolean) {
        val written = context.writeAndFlush(part)
        waitingSince = listener.now()
        if (close) {
            discarding = true
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        context.executor().execute(::goOn)
    }

    private fun goOn() {
        exchange = null
        partialSince = null
        while (exchange == null && early.isNotEmpty()) {
            val part = early.removeFirst()
            earlyBytes -= (part as? HttpContent)?.content()?.readableBytes() ?: HEAD_ESTIMATE_BYTES
            accept(part)
        }
        if (early.isEmpty()) earlyBytes = 0
        if (earlyBytes <= MAXIMUM_EARLY_BYTES) context.channel().config().isAutoRead = true
    }

    /** Ends the connection with a reset, so that a partial answer can't look complete. */
    fun abort() {
        discarding = true
        context.channel().closeWithReset()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) exchange?.onWritable?.invoke()
    }

    @Deprecated("Netty still reports errors of a channel through this method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Ends the connection if the caller takes too long for a head, a body, or the next request. */
    fun checkTimeouts(now: Duration) {
        if (exchange != null || discarding) return
        val limits = bounds()
        val partial = partialSince
        when {
            request == null && partial != null && now - partial > limits.headTimeout ->
                refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            now - waitingSince > limits.idleTimeout ->
                if (request != null) refuse(HttpResponseStatus.REQUEST_TIMEOUT) else context.close()
            else -> Unit
        }
    }

    /** Ends a connection that waits for its next request. */
    fun closeIfIdle() {
        if (exchange == null && request == null && partialSince == null) context.close()
    }

    private companion object {
        /** More than this is left in the socket until the requests before it are answered. */
        const val MAXIMUM_EARLY_BYTES = 65_536
        const val HEAD_ESTIMATE_BYTES = 512
        val CONTINUE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}
