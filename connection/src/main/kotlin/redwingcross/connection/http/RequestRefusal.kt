package redwingcross.connection.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration.Companion.seconds

/** Sends the last response of a connection, to a request that is refused before it is served, and then closes it. */
internal class RequestRefusal {
    private var remainingBytes = 0L

    /** Whether the rest of a refused body is awaited. */
    val isDraining: Boolean get() = remainingBytes > 0

    /** Refuses the request and closes the connection. */
    fun refuse(context: ChannelHandlerContext, status: HttpResponseStatus) {
        context.writeAndFlush(response(status)).addListener(ChannelFutureListener.CLOSE)
    }

    /**
     * Refuses the request as not run. The rest of its body, at most [bodyBytes], is read and discarded before the
     * connection closes: closing it at once would reset it, and the caller might not receive the response.
     */
    fun refuseForLackOfMemory(context: ChannelHandlerContext, bodyBytes: Long) {
        remainingBytes = bodyBytes
        val response = response(HttpResponseStatus.SERVICE_UNAVAILABLE)
        response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER.inWholeSeconds)
        context.writeAndFlush(response)
    }

    /** Discards [part] of a refused request; the caller releases it. */
    fun drain(context: ChannelHandlerContext, part: HttpObject) {
        if (!isDraining) return
        remainingBytes -= (part as? HttpContent)?.content()?.readableBytes() ?: 0
        val isComplete = part is LastHttpContent || part.decoderResult().isFailure
        if (isComplete || !isDraining) context.close()
    }

    private fun response(status: HttpResponseStatus): DefaultFullHttpResponse {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        return response
    }

    private companion object {
        /** Slow bodies stay in memory for seconds, so an earlier return would mostly be refused again. */
        val RETRY_AFTER = 1.seconds
    }
}
