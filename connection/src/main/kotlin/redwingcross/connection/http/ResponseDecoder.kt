package redwingcross.connection.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses while [awaitsResponse] returns true; other bytes close the connection. An incomplete head that is
 * received in between would otherwise become the head of the next response.
 */
internal class ResponseDecoder(
    maximumHeadBytes: Int,
    private val awaitsResponse: () -> Boolean,
    /** Called when all that the remote end sent before it closed its side was read, before the rest is decoded. */
    private val onInputEnd: () -> Unit,
) : HttpResponseDecoder(maximumHeadBytes, maximumHeadBytes, maximumHeadBytes) {
    /** Whether received bytes have not been decoded yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(isStatus(initialLine[1])) { "status '${initialLine[1]}' in a response" }
        return super.createMessage(initialLine)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) onInputEnd()
        super.userEventTriggered(context, event)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, output: MutableList<Any>) {
        if (awaitsResponse()) {
            super.decode(context, buffer, output)
        } else if (buffer.isReadable) {
            buffer.skipBytes(buffer.readableBytes())
            context.close()
        }
    }
}

/**
 * Whether a status line stands inside the head. This happens if an incomplete head was received before the response, so
 * that the decoder joined the two; the fields then belong to different responses.
 */
internal fun HttpResponse.containsStatusLine(): Boolean = STATUS_LINE.containsMatchIn(status().reasonPhrase()) ||
    headers().iteratorAsString().asSequence().any { (_, value) -> STATUS_LINE.containsMatchIn(value) }

private val STATUS_LINE = Regex("HTTP/\\d\\.\\d \\d{3}")
