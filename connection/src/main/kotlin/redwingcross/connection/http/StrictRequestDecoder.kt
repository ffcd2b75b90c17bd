package redwingcross.connection.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Raised for a request whose length could be read in two ways, which is how requests are smuggled. */
class AmbiguousLengthException(message: String) : IllegalArgumentException(message)

/** A request decoder that rejects a message with both a length and a transfer encoding. */
internal class StrictRequestDecoder(maximumHeadBytes: Int) :
    HttpRequestDecoder(maximumHeadBytes, maximumHeadBytes, MAXIMUM_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousLengthException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
