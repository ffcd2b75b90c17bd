package redwingcross.connection.caller

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.model.CallerLoss
import redwingcross.request.model.ModelRequestResult
import java.io.IOException
import java.io.InputStream

/**
 * A response that is sent token by token through [mailbox]. It starts with the first output, so that a request that
 * ends without output still gets a problem document.
 */
internal fun streamedResponse(id: RequestId, model: ServiceName, mailbox: ByteMailbox): ModelResponse {
    // Null if output has started, otherwise the result of a request that ended without output.
    val head = CompletableDeferred<ModelRequestResult?>()
    val loss = CompletableDeferred<CallerLoss>()
    val put: suspend (ByteArray) -> CallerLoss? = { bytes ->
        head.complete(null)
        if (mailbox.put(bytes)) null else CallerLoss.GONE
    }
    return ModelResponse(
        output = ModelOutput(
            deliver = { token -> put(token.toEvent(id, model)) },
            keepAlive = { put(keepAliveComment) },
            finish = { result ->
                when {
                    result is ModelRequestResult.Complete -> {
                        put(endMarker)
                        mailbox.closeProducer()
                    }
                    head.complete(result) -> mailbox.closeProducer()
                    else -> {
                        if (result is ModelRequestResult.Incomplete) put(result.toErrorEvent(id))
                        mailbox.closeProducer(IOException("the response is incomplete"))
                    }
                }
            },
        ),
        callerLoss = loss,
        fail = { failure ->
            head.completeExceptionally(failure)
            mailbox.closeProducer(IOException("the request failed", failure))
        },
        await = {
            val ended = runCatching { runBlocking { head.await() } }.onFailure { mailbox.closeConsumer() }.getOrThrow()
            if (ended == null) {
                Response(Status.OK)
                    .header("Content-Type", "text/event-stream")
                    .header("Cache-Control", "no-store")
                    .body(MailboxStream(mailbox) { loss.complete(CallerLoss.GONE) }, null)
            } else {
                mailbox.closeConsumer()
                ended.toResponse(id)
            }
        },
    )
}

private fun ModelRequestResult.toErrorEvent(id: RequestId): ByteArray =
    "event: error\ndata: ${Json.encodeToString(toProblem(id))}\n\n".encodeToByteArray()

/** Consumer of a mailbox as a blocking stream. A read waits for the next chunk and does not wait to fill the buffer. */
private class MailboxStream(private val mailbox: ByteMailbox, private val onClose: () -> Unit) : InputStream() {
    private var chunk = ByteArray(0)
    private var position = 0

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        while (position == chunk.size) {
            chunk = runBlocking { mailbox.take() } ?: return -1
            position = 0
        }
        val count = minOf(length, chunk.size - position)
        chunk.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    override fun close() {
        mailbox.closeConsumer()
        onClose()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
