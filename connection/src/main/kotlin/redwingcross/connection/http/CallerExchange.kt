package redwingcross.connection.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import redwingcross.request.AttemptId

/** One request of a caller and its response. Not thread-safe: use it only on the event loop of the connection. */
class CallerExchange internal constructor(
    private val channel: Channel,
    private val connection: CallerConnection,
    val head: RequestHead,
    val body: ByteArray,
    private val version: HttpVersion,
    keepAlive: Boolean,
    private val reservation: RequestBodyBudget.Reservation,
) {
    /** Identification of the request for logs; null before it is decoded. */
    var attempt: AttemptId? = null

    /** Called once if the caller disconnects before the response is complete. */
    var onDisconnect: () -> Unit = {}

    /** Called when [isWritable] becomes true again, that is, when the caller has read enough for more to be written. */
    var onWritable: () -> Unit = {}

    /** Called if the handler fails, to answer the request as its state allows and to free what it holds. */
    var onFailure: () -> Unit = {}

    /** Whether the response is complete or was aborted. */
    var isFinished = false
        private set(value) {
            field = value
            if (value) reservation.release()
        }
    private var streaming = false

    /** Whether the end of the response was passed to the connection, so that nothing is left to be sent. */
    private var isEndSent = false

    /** The failure that is being handled. */
    private var failure: Throwable? = null

    /** Why the connection closes after the response that is streamed; null if its head announced no close. */
    private var announcedClose: CallerCloseReason? = null

    /** Why the connection closes after the response, apart from a stop of the process; null if it is kept. */
    private var requestedClose = if (keepAlive) null else CallerCloseReason.CALLER

    /** Whether the end of the connection is the only mark of the end of the response. */
    private val endsWithConnection: Boolean get() = streaming && version != HttpVersion.HTTP_1_1

    /** False while the caller reads too slowly; the source of the response should then be paused. */
    val isWritable: Boolean get() = channel.isWritable

    /**
     * Closes the connection after the response, so that the caller opens a new one for its next request. If a next
     * request has begun to arrive, the connection stays open for it.
     */
    fun closeAfterResponse() {
        requestedClose = CallerCloseReason.STOP
    }

    /** Sends a complete response. */
    fun respond(status: Int, headers: HttpHeaders, content: ByteArray) {
        if (isFinished) return
        // A second head would be lost in the encoder, and the caller would wait for the end of the first response.
        if (streaming) return abort()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content),
            headers,
            DefaultHttpHeaders(),
        )
        if (status != NO_CONTENT && status != NOT_MODIFIED) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.size)
        }
        val close = closeReason()
        if (close != null) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        finish(response, close)
    }

    private fun finish(lastPart: Any, close: CallerCloseReason?) {
        isFinished = true
        connection.finishWith(lastPart, close)
        isEndSent = true
    }

    /** Sends the head of a response of unknown length. */
    fun beginStream(status: Int, headers: HttpHeaders) {
        if (isFinished) return
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        streaming = true
        if (version == HttpVersion.HTTP_1_1) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        announcedClose = closeReason()
        if (announcedClose != null) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.write(response, channel.voidPromise())
    }

    /** Sends a part of the body and flushes it. */
    fun write(bytes: ByteArray) {
        if (isFinished) return
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), channel.voidPromise())
    }

    /**
     * Completes a streamed response. The connection is closed only if the head of the response announced it: the caller
     * may send its next request at once otherwise.
     */
    fun endStream() {
        if (isFinished) return
        finish(LastHttpContent.EMPTY_LAST_CONTENT, announcedClose)
    }

    /** Resets the connection, so that the part already sent can't be taken for a complete response. */
    fun abort() {
        if (isFinished) return
        isFinished = true
        connection.abort()
        isEndSent = true
    }

    /**
     * Runs a [step] of the handler of this request. If it throws an exception or an error, the request ends at once
     * with the answer of [onFailure]; without one it gets 500, or a reset if a part of a response was sent. The failure
     * is reported to the listener and not thrown on, so that the connection and other requests are not affected.
     */
    fun guarded(step: () -> Unit) {
        runCatching(step).onFailure(::handlerFailed)
    }

    internal fun handlerFailed(cause: Throwable) {
        failure?.let { return it.suppress(cause) }
        failure = cause
        runCatching(onFailure).onFailure(cause::suppress)
        runCatching(::respondIfUnanswered).onFailure(cause::suppress)
        runCatching { if (!isEndSent) connection.abort() }.onFailure(cause::suppress)
        failure = null
        connection.reportFailure(RequestFailure(attempt, cause))
    }

    private fun respondIfUnanswered() {
        if (!isFinished) respond(INTERNAL_ERROR, DefaultHttpHeaders(), ByteArray(0))
    }

    /** Closes the connection, with a reset if the caller could take a partial response for a complete one. */
    internal fun cutOff() {
        val isPartial = !isFinished || channel.unsentBytes > 0
        if (isPartial && endsWithConnection) channel.closeWithReset() else channel.close()
    }

    internal fun callerDisconnected() {
        if (isFinished) return
        isFinished = true
        isEndSent = true
        guarded(onDisconnect)
    }

    private fun closeReason(): CallerCloseReason? = when {
        requestedClose == CallerCloseReason.CALLER -> CallerCloseReason.CALLER
        endsWithConnection -> CallerCloseReason.CALLER
        !connection.isClosing && requestedClose == null -> null
        // Requests after an announced close get no answer, so a stop waits for those that have begun to arrive.
        connection.receiveNextRequest() -> null
        else -> CallerCloseReason.STOP
    }

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val INTERNAL_ERROR = 500
    }
}
