package redwingcross.connection.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Thrown for a request whose body length is ambiguous, which would allow request smuggling. */
class AmbiguousLengthException(message: String) : IllegalArgumentException(message)

/** A request decoder that rejects requests with both `Content-Length` and `Transfer-Encoding`. */
internal class StrictRequestDecoder(maximumHeadBytes: Int) :
    HttpRequestDecoder(maximumHeadBytes, maximumHeadBytes, MAXIMUM_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousLengthException("request has both Content-Length and Transfer-Encoding")

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
