package redwingcross.connection.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Parts of requests that a caller sent before the response to an earlier request was complete. */
internal class PipelinedParts {
    private val parts = ArrayDeque<HttpObject>()
    private var bytes = 0

    val isEmpty: Boolean get() = parts.isEmpty()

    /** Whether reading must stop until earlier requests have been served. */
    val isFull: Boolean get() = bytes > MAXIMUM_BYTES

    /** Number of requests that are here as a whole. */
    val wholeRequests: Int get() = parts.count { it is LastHttpContent }

    fun add(part: HttpObject) {
        parts.addLast(part)
        bytes += sizeOf(part)
    }

    /** Removes the oldest part; the caller releases it. */
    fun removeFirst(): HttpObject = parts.removeFirst().also { bytes -= sizeOf(it) }

    /** Releases and removes all parts. */
    fun clear() {
        parts.forEach(ReferenceCountUtil::release)
        parts.clear()
        bytes = 0
    }

    private fun sizeOf(part: HttpObject) = (part as? HttpContent)?.content()?.readableBytes() ?: HEAD_ESTIMATE_BYTES

    private companion object {
        /** Above this, reading stops; further bytes stay in the socket buffer. */
        const val MAXIMUM_BYTES = 65_536

        /** Estimated size of a queued request head. */
        const val HEAD_ESTIMATE_BYTES = 512
    }
}
