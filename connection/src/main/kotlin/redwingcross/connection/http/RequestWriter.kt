package redwingcross.connection.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/**
 * Writes one request to [channel] and reports to [onWritten] that all of it was passed to the socket (null), or why the
 * rest can't be.
 *
 * Netty copies what is written into direct memory, where it stays until the remote end has read it. Therefore a longer
 * body is written in parts of [PART_BYTES], the next one when the previous one is in the socket: this is the share of
 * the direct memory that a connection uses, also if its remote end reads slowly.
 */
internal class RequestWriter(
    private val channel: Channel,
    private val body: ByteArray,
    private val onWritten: (Throwable?) -> Unit,
) {
    private var position = 0

    /** Starts to write the request; [head] states the length of the body. */
    fun write(head: RequestHead) {
        val method = HttpMethod.valueOf(head.method)
        if (body.size > PART_BYTES) {
            channel.write(DefaultHttpRequest(HttpVersion.HTTP_1_1, method, head.target, head.headers))
            return writeNextPart()
        }
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            head.target,
            Unpooled.wrappedBuffer(body),
            head.headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
        )
        channel.writeAndFlush(request).addListener { onWritten(it.cause()) }
    }

    private fun writeNextPart() {
        val length = minOf(PART_BYTES, body.size - position)
        val bytes = Unpooled.wrappedBuffer(body, position, length)
        position += length
        val isLast = position == body.size
        val part = if (isLast) DefaultLastHttpContent(bytes) else DefaultHttpContent(bytes)
        channel.writeAndFlush(part).addListener { written ->
            if (written.isSuccess && !isLast) writeNextPart() else onWritten(written.cause())
        }
    }

    internal companion object {
        /** Socket buffers are about as large, so a fast remote end doesn't wait for the next part. */
        const val PART_BYTES = 65_536
    }
}
