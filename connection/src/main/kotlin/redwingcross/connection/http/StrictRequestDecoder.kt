package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Thrown for a request whose body length is ambiguous, which would allow request smuggling. */
class AmbiguousLengthException(message: String) : IllegalArgumentException(message)

/**
 * A request decoder that reports heads in progress, and rejects requests with both `Content-Length` and
 * `Transfer-Encoding`.
 */
internal class StrictRequestDecoder(val maximumHeadBytes: Int) :
    HttpRequestDecoder(maximumHeadBytes, maximumHeadBytes, MAXIMUM_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousLengthException("request has both Content-Length and Transfer-Encoding")

    /** Whether a part of a head has been received; empty lines before a request don't count. */
    var isHeadBegun = false
        private set
    private var isBodyBegun = false

    /** Whether a part of a request has been received whose end has not. */
    val isRequestBegun: Boolean get() = isHeadBegun || isBodyBegun

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!isHeadBegun && !isBodyBegun) isHeadBegun = buffer.forEachByte(::isBlank) >= 0
        val decodedBefore = out.size
        super.decode(context, buffer, out)
        if (out.size == decodedBefore) return
        isHeadBegun = false
        isBodyBegun = out.last() !is LastHttpContent
    }

    private fun isBlank(byte: Byte): Boolean = byte in 0..SPACE

    private companion object {
        const val SPACE: Byte = 0x20
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}

/** The request decoder of one connection. A larger limit of heads applies from the next request on. */
internal class RequestDecoding(private val maximumHeadBytes: () -> Int) {
    private var decoder = StrictRequestDecoder(maximumHeadBytes())

    /** Whether a part of a head has been received; empty lines before a request don't count. */
    val isHeadBegun: Boolean get() = decoder.isHeadBegun

    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(decoder)
    }

    /** Applies a limit that was raised; called before received bytes are decoded. */
    fun applyRaisedLimit(pipeline: ChannelPipeline) {
        val limit = maximumHeadBytes()
        if (limit <= decoder.maximumHeadBytes || decoder.isRequestBegun) return
        // The limit of a decoder is fixed.
        val next = StrictRequestDecoder(limit)
        pipeline.replace(decoder, null, next)
        decoder = next
    }
}
