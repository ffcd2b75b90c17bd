package redwingcross.connection.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration.Companion.seconds

/** Slow bodies stay in memory for seconds, so an earlier return would mostly be refused again. */
private val RETRY_AFTER = 1.seconds

/**
 * The last response of a connection, to a request that is refused before it is served. 503 states the lack of memory
 * for a body, so that the caller tries again later.
 */
internal fun refusalResponse(status: HttpResponseStatus): DefaultFullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
    response.headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER.inWholeSeconds)
    }
    return response
}
