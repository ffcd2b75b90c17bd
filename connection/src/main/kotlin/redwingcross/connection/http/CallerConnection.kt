package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
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
import java.io.IOException
import kotlin.time.Duration

/**
 * Limits of one connection of a caller.
 *
 * [bodyBytes] is the largest request body, [headTimeout] the longest time from the first byte of a request to the end
 * of its head, and [idleTimeout] the longest time without received bytes while a body or the next request is awaited.
 */
data class CallerConnectionLimits(val bodyBytes: Long, val headTimeout: Duration, val idleTimeout: Duration)

/** Serves one request. It sends the response through the exchange, at once or later on the same event loop. */
typealias ServeExchange = (CallerExchange) -> Unit

/**
 * One connection of a caller. It owns the socket and serves one request at a time.
 *
 * It keeps reading while a response is sent, so that a disconnect of the caller is detected at once. Pipelined requests
 * are queued and served in order.
 */
internal class CallerConnection(
    private val listener: CallerListener,
    private val limits: () -> CallerConnectionLimits,
    private val bodyBudget: RequestBodyBudget,
    /** Whether a part of a head has been received that is not decoded yet. */
    private val isHeadBegun: () -> Boolean,
    private val serve: ServeExchange,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = PipelinedParts()
    private var request: HttpRequest? = null
    private var body = BodyBuffer(0)
    private var reservation = bodyBudget.Reservation()
    private var exchange: CallerExchange? = null
    private var discarding = false
    private val lingering = LingeringClose(listener::now)
    private var wait = CallerWait.forRequest(limits(), listener.now())
    private var progress = SendProgress(0, listener.now())
    private var isCloseReported = false

    /** Whether the connection closes after a response behind which no whole request is queued. */
    val isClosing: Boolean get() = listener.isClosing

    /** Whether a whole request waits for the response that is being sent. */
    val hasQueuedRequest: Boolean get() = pipelined.hasWholeRequest

    /** Whether a whole request, or a part of one, has been received that has no complete response yet. */
    val holdsRequest: Boolean
        get() = !discarding &&
            (exchange?.isFinished == false || request != null || !pipelined.isEmpty || isHeadBegun())

    /** Whether what the caller has sent may be read; a connection whose queue is full serves its requests first. */
    val canReceive: Boolean get() = channel.isActive && !pipelined.isFull

    /** Whether bytes of a response have not reached the socket yet. */
    val hasUnsentBytes: Boolean get() = channel.unsentBytes > 0

    val reportFailure: ObserveRequestFailure = listener::requestFailed

    /** The socket of the connection. */
    val channel: Channel get() = context.channel()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        listener.opened(this)
        context.fireChannelActive()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        listener.closed(this)
        pipelined.clear()
        reservation.release()
        exchange?.callerDisconnected()
        context.fireChannelInactive()
    }

    /** Called for received [bytes] before they are decoded; returns whether they are still needed. */
    fun onBytesReceived(bytes: Int): Boolean {
        if (lingering.isBegun) lingering.discarded(channel, bytes)
        if (exchange == null) wait = wait.received(limits(), listener.now())
        return !discarding
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        if (discarding || (exchange == null && pipelined.isEmpty)) return accept(part)
        pipelined.add(part)
        if (pipelined.isFull) channel.config().isAutoRead = false
    }

    private fun accept(part: HttpObject) {
        try {
            when {
                discarding -> Unit
                part.decoderResult().isFailure -> refuse(statusFor(part.decoderResult().cause()))
                else -> {
                    if (part is HttpRequest) begin(part)
                    if (part is HttpContent && request != null) append(part)
                }
            }
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private val largestBodyBytes: Long get() = bodyBudget.largestBody(wait.effectiveLimits(limits()))

    private fun begin(part: HttpRequest) {
        request = part
        wait = wait.headReceived(listener.now())
        val declared = HttpUtil.getContentLength(part, 0L)
        when {
            part.protocolVersion().majorVersion() != 1 -> refuse(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED)
            part.headers().getAll(HttpHeaderNames.HOST).size > 1 -> refuse(HttpResponseStatus.BAD_REQUEST)
            declared > largestBodyBytes -> refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            !reservation.extendTo(declared) -> refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
            else -> {
                body = BodyBuffer(declared.toInt())
                if (HttpUtil.is100ContinueExpected(part)) context.writeAndFlush(CONTINUE_RESPONSE.retainedDuplicate())
            }
        }
    }

    private fun append(part: HttpContent) {
        val content: ByteBuf = part.content()
        val total = body.size().toLong() + content.readableBytes()
        if (total > largestBodyBytes) return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        // The declared length is reserved already, so this fails only for a body in chunks.
        if (!reservation.extendTo(total)) return refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        content.readBytes(body, content.readableBytes())
        if (part is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val head = request ?: return
        request = null
        val next = CallerExchange(
            channel,
            this,
            RequestHead(head.method().name(), head.uri(), head.headers()),
            body.takeBytes(),
            head.protocolVersion(),
            HttpUtil.isKeepAlive(head),
            reservation,
        )
        body = BodyBuffer(0)
        reservation = bodyBudget.Reservation()
        exchange = next
        next.guarded { serve(next) }
    }

    private fun refuse(status: HttpResponseStatus) {
        reportClose(CallerCloseReason.REFUSED)
        discarding = true
        request = null
        body = BodyBuffer(0)
        reservation.release()
        pipelined.clear()
        listener.refused(status.code())
        lingering.begin(context.writeAndFlush(refusalResponse(status)))
    }

    /**
     * Writes the last part of a response, then closes the connection for the reason [close], or serves the next request
     * if it is null.
     */
    fun finishWith(part: Any, close: CallerCloseReason?) {
        // Before the write, because the caller may know only the limits in force until then.
        wait = CallerWait.forRequest(limits(), listener.now())
        val written = context.writeAndFlush(part).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE)
        if (close != null) {
            reportClose(close)
            discarding = true
            pipelined.clear()
            lingering.begin(written)
            return
        }
        context.executor().execute { runCatching(::serveNext).onFailure(channel.pipeline()::fireExceptionCaught) }
    }

    private fun serveNext() {
        exchange = null
        while (exchange == null && !pipelined.isEmpty) accept(pipelined.removeFirst())
        if (exchange == null && isHeadBegun()) wait = wait.received(limits(), listener.now())
        if (!pipelined.isFull) channel.config().isAutoRead = true
        if (isIdle && isClosing) listener.closeIfIdleLater(this)
    }

    /** Resets the connection, so that a partial response can't be taken for a complete one. */
    fun abort() {
        reportClose(CallerCloseReason.ABORTED)
        discarding = true
        channel.closeWithReset()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) exchange?.let { it.guarded(it.onWritable) }
    }

    @Deprecated("Netty still reports channel errors through this method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // The caller or the network ended the connection if reading or writing failed.
        if (cause is IOException) {
            context.close()
            return
        }
        val unanswered = exchange?.takeIf { !it.isFinished }
        unanswered?.handlerFailed(cause)
        runEvery(
            { reportClose(CallerCloseReason.FAILED, cause) },
            {
                if (request != null) {
                    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
                } else {
                    discarding = true
                    pipelined.clear()
                    // Not before a response that was just written has been sent.
                    val answered = unanswered?.let { context.writeAndFlush(Unpooled.EMPTY_BUFFER) }
                    answered?.let(lingering::begin) ?: context.close()
                }
            },
        )
    }

    /**
     * Closes the connection if the caller takes too long to send a request head, a body or the next request, or to read
     * the end of a response.
     */
    fun checkTimeouts(now: Duration) {
        if (decide(now) == CallerWaitDecision.WAIT) return
        if (canReceive) channel.readPending()
        channel.writePending()
        when (decide(listener.now())) {
            CallerWaitDecision.WAIT -> Unit
            CallerWaitDecision.REFUSE -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            CallerWaitDecision.CLOSE -> {
                reportClose(CallerCloseReason.IDLE)
                if (!isIdle || hasUnsentBytes) {
                    context.close()
                    return
                }
                discarding = true
                lingering.begin(context.newSucceededFuture())
            }
        }
    }

    /** Closes the connection if it is waiting for its next request. */
    fun closeIfIdle() {
        if (!isIdle) return
        channel.readPending()
        if (!isIdle) return
        if (hasUnsentBytes) return listener.closeIfIdleLater(this)
        reportClose(CallerCloseReason.STOP)
        discarding = true
        lingering.begin(context.newSucceededFuture())
    }

    private val isIdle: Boolean
        get() = channel.isActive && exchange == null && !discarding && wait.stage == CallerWaitStage.NEXT_REQUEST

    private fun decide(now: Duration): CallerWaitDecision {
        progress = progress.observed(channel.unsentBytes, now)
        val current = limits()
        val isStalled = progress.isStalled(wait.effectiveLimits(current).idleTimeout, now)
        return when {
            !channel.isActive || exchange?.isFinished == false -> CallerWaitDecision.WAIT
            isStalled || lingering.isOver(now) -> CallerWaitDecision.CLOSE
            exchange != null || discarding || hasUnsentBytes -> CallerWaitDecision.WAIT
            else -> wait.responseSent(progress.changedAt).decide(current, now)
        }
    }

    private fun reportClose(reason: CallerCloseReason, cause: Throwable? = null) {
        if (isCloseReported) return
        isCloseReported = true
        val held = when {
            pipelined.hasWholeRequest || exchange?.isFinished == false || reason == CallerCloseReason.ABORTED ->
                HeldRequest.WHOLE
            exchange == null && wait.stage != CallerWaitStage.NEXT_REQUEST -> HeldRequest.PART
            pipelined.isEmpty && !isHeadBegun() -> HeldRequest.NONE
            else -> HeldRequest.PART
        }
        val limit = wait.effectiveLimits(limits()).idleTimeout
        listener.closing(CallerClose(reason, listener.now() - wait.lastActivityAt, limit, held, cause))
    }

    private companion object {
        val CONTINUE_RESPONSE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}

/** Status with which a request is refused that could not be decoded because of [cause]. */
private fun statusFor(cause: Throwable?): HttpResponseStatus {
    val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
    return if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST
}
