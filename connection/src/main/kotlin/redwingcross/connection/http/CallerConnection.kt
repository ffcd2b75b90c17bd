package redwingcross.connection.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
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
    /** The socket of the connection. */
    val channel: Channel,
    private val listener: CallerListener,
    private val limits: () -> CallerConnectionLimits,
    bodyBudget: RequestBodyBudget,
    /** Whether a part of a head has been received that is not decoded yet. */
    private val isHeadBegun: () -> Boolean,
    private val serve: ServeExchange,
) : ChannelInboundHandlerAdapter() {
    private val pipelined = PipelinedParts()
    private val incoming = IncomingRequest(bodyBudget)
    private var exchange: CallerExchange? = null
    private var discarding = false

    /** Whether received bytes are being decoded; the socket must not be read once more meanwhile. */
    private var isReading = false

    /** A request that is served when what has been received with it is decoded. */
    private var unserved: CallerExchange? = null
    private val lingering = LingeringClose(listener::now) { listener.lingers(this) }
    private var wait = CallerWait.forRequest(limits(), listener.now())

    /** Limits for the last response, whose end may not have been sent yet. */
    private var responseLimits = wait.limits
    private var progress = SendProgress(0, listener.now())
    private var isCloseReported = false

    /** Whether the connection closes after a response behind which no request has begun to arrive. */
    val isClosing: Boolean get() = listener.isClosing

    /** Whether a whole request, or a part of one, has been received that has no complete response yet. */
    val holdsRequest: Boolean
        get() = !discarding &&
            (exchange?.isFinished == false || incoming.isBegun || !pipelined.isEmpty || isHeadBegun())

    /** Whether what the caller has sent may be read; a connection whose queue is full serves its requests first. */
    val canReceive: Boolean get() = channel.isActive && !pipelined.isFull

    /** Whether bytes of a response have not reached the socket yet. */
    val hasUnsentBytes: Boolean get() = channel.unsentBytes > 0

    val reportFailure: ObserveRequestFailure = listener::requestFailed

    override fun channelActive(context: ChannelHandlerContext) {
        listener.opened(this)
        context.fireChannelActive()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        listener.closed(this)
        pipelined.clear()
        incoming.discard()
        exchange?.callerDisconnected()
        context.fireChannelInactive()
    }

    /** Reads what the caller has sent by now; returns whether it contains a further request or a part of one. */
    fun receiveNextRequest(): Boolean {
        if (!isReading && canReceive) channel.readPending()
        return !pipelined.isEmpty || isHeadBegun()
    }

    /** Called for received [bytes] before they are decoded; returns whether they are still needed. */
    fun onBytesReceived(bytes: Int): Boolean {
        isReading = true
        if (lingering.isBegun && lingering.isOverAfter(bytes)) exchange?.cutOff() ?: channel.close()
        if (exchange == null) wait = wait.received(limits(), listener.now())
        return !discarding
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        if (discarding || (exchange == null && pipelined.isEmpty)) return accept(part)
        pipelined.add(part)
        if (pipelined.isFull) channel.config().isAutoRead = false
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        isReading = false
        unserved?.also { unserved = null }?.takeIf { !it.isFinished }?.let { it.guarded { serve(it) } }
        context.fireChannelReadComplete()
    }

    private fun accept(part: HttpObject) {
        try {
            if (discarding) return
            if (part is HttpRequest) wait = wait.headReceived(listener.now())
            val refusal = incoming.add(part, wait.effectiveLimits(limits()))
            when {
                refusal != null -> refuse(refusal)
                part is LastHttpContent && incoming.isBegun -> dispatch()
                part is HttpRequest && HttpUtil.is100ContinueExpected(part) ->
                    channel.writeAndFlush(CONTINUE_RESPONSE.retainedDuplicate())
            }
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun dispatch() {
        val next = incoming.take { head, body, reservation ->
            CallerExchange(
                channel,
                this,
                RequestHead(head.method().name(), head.uri(), head.headers()),
                body,
                head.protocolVersion(),
                HttpUtil.isKeepAlive(head),
                reservation,
            )
        }
        exchange = next
        if (isReading) unserved = next else next.guarded { serve(next) }
    }

    private fun refuse(status: HttpResponseStatus) {
        reportClose(CallerCloseReason.REFUSED)
        discarding = true
        incoming.discard()
        pipelined.clear()
        listener.refused(status.code())
        lingering.begin(channel.writeAndFlush(refusalResponse(status)))
    }

    /**
     * Writes the last part of a response, then closes the connection for the reason [close], or serves the next request
     * if it is null.
     */
    fun finishWith(part: Any, close: CallerCloseReason?) {
        responseLimits = wait.effectiveLimits(limits())
        // Before the write, because the caller may know only the limits in force until then.
        wait = if (pipelined.isEmpty && !isHeadBegun()) {
            CallerWait.forRequest(limits(), listener.now())
        } else {
            wait.forReceivedRequest(limits(), listener.now())
        }
        val written = channel.writeAndFlush(part).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE)
        if (close != null) {
            reportClose(close)
            discarding = true
            pipelined.clear()
            lingering.begin(written)
            return
        }
        channel.eventLoop().execute { runCatching(::serveNext).onFailure(channel.pipeline()::fireExceptionCaught) }
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
                if (exchange == null && wait.stage != CallerWaitStage.NEXT_REQUEST) {
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
        channel.writePending()
        if (canReceive) channel.readPending()
        when (decide(listener.now())) {
            CallerWaitDecision.WAIT -> Unit
            CallerWaitDecision.REFUSE -> refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            CallerWaitDecision.CLOSE ->
                if (isIdle && !hasUnsentBytes) {
                    closeIdle(CallerCloseReason.IDLE)
                } else {
                    reportClose(CallerCloseReason.IDLE)
                    exchange?.cutOff() ?: channel.close()
                }
        }
    }

    /** Closes the connection if it is waiting for its next request. */
    fun closeIfIdle() {
        if (!isIdle) return
        channel.readPending()
        if (!isIdle) return
        if (hasUnsentBytes) return listener.closeIfIdleLater(this)
        closeIdle(CallerCloseReason.STOP)
    }

    /** Follows the last read without a delay, because a request that arrives in between gets no answer. */
    private fun closeIdle(reason: CallerCloseReason) {
        discarding = true
        lingering.beginAtOnce(channel)
        reportClose(reason)
    }

    private val isIdle: Boolean
        get() = channel.isActive && exchange == null && !discarding && wait.stage == CallerWaitStage.NEXT_REQUEST

    private fun decide(now: Duration): CallerWaitDecision {
        progress = progress.observed(channel.unsentBytes, now)
        val current = limits()
        val isStalled = progress.isStalled(maxOf(responseLimits.idleTimeout, current.idleTimeout), now)
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
        val queued = pipelined.wholeRequests
        val held = when {
            queued > 0 || exchange?.isFinished == false || reason == CallerCloseReason.ABORTED -> HeldRequest.WHOLE
            exchange == null && wait.stage != CallerWaitStage.NEXT_REQUEST -> HeldRequest.PART
            pipelined.isEmpty && !isHeadBegun() -> HeldRequest.NONE
            else -> HeldRequest.PART
        }
        val limit = wait.effectiveLimits(limits()).idleTimeout
        listener.closing(CallerClose(reason, listener.now() - wait.lastActivityAt, limit, held, queued, cause))
    }

    private companion object {
        val CONTINUE_RESPONSE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}
