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

/** One request of a caller and the answer to it. All calls are made on the event loop of the connection. */
class CallerExchange internal constructor(
    private val channel: Channel,
    private val connection: CallerConnection,
    val head: RequestHead,
    val body: ByteArray,
    private val version: HttpVersion,
    private val keepAlive: Boolean,
) {
    /** Called once if the caller leaves before its answer is complete. */
    var onGone: () -> Unit = {}

    /** Called when the caller has taken enough of the answer for more to be written. */
    var onWritable: () -> Unit = {}

    /** Whether the answer is complete or given up. */
    var isFinished = false
        private set
    private var streaming = false

    /** Whether the caller keeps up with the answer; if not, nothing more should be read for it. */
    val isWritable: Boolean get() = channel.isWritable

    /** Sends a whole answer. */
    fun respond(status: Int, headers: HttpHeaders, content: ByteArray) {
        if (isFinished) return
        isFinished = true
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
        val close = closesAfter()
        if (close) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        connection.finishWith(response, close)
    }

    /** Sends the head of an answer whose length isn't known. */
    fun beginStream(status: Int, headers: HttpHeaders) {
        if (isFinished) return
        streaming = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        if (version == HttpVersion.HTTP_1_1) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        if (closesAfter()) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.write(response, channel.voidPromise())
    }

    /** Sends a part of the answer at once. */
    fun write(bytes: ByteArray) {
        if (isFinished) return
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), channel.voidPromise())
    }

    /** Marks the answer as complete. */
    fun endStream() {
        if (isFinished) return
        isFinished = true
        connection.finishWith(LastHttpContent.EMPTY_LAST_CONTENT, closesAfter())
    }

    /** Ends the connection, so that what was sent can't be taken for a whole answer. */
    fun abort() {
        if (isFinished) return
        isFinished = true
        connection.abort()
    }

    internal fun callerLeft() {
        if (isFinished) return
        isFinished = true
        onGone()
    }

    private fun closesAfter(): Boolean =
        !keepAlive || connection.isClosing || (streaming && version != HttpVersion.HTTP_1_1)

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
