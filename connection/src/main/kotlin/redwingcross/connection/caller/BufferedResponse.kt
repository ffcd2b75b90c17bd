package redwingcross.connection.caller

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.model.CallerLoss
import redwingcross.request.model.ModelRequestResult

/**
 * A response that is sent as one document once all tokens were received. Its text acquires blocks of the process's
 * [budget] and fails without waiting if none is free: buffered responses that hold blocks and wait for more would
 * deadlock.
 */
internal fun bufferedResponse(
    id: RequestId,
    model: ServiceName,
    mailbox: ByteMailbox,
    budget: ByteBudget,
): ModelResponse {
    val ended = CompletableDeferred<ModelRequestResult>()
    val text = BufferedText(budget)
    return ModelResponse(
        output = ModelOutput(
            deliver = { token -> CallerLoss.ANSWER_TOO_LARGE.takeUnless { text.append(token.text) } },
            keepAlive = { null },
            finish = { result -> ended.complete(result) },
        ),
        callerLoss = CompletableDeferred(),
        fail = { failure -> ended.completeExceptionally(failure) },
        await = {
            try {
                when (val result = runBlocking { ended.await() }) {
                    is ModelRequestResult.Complete -> Response(Status.OK)
                        .header("Content-Type", "application/json")
                        .body(completionDocument(id, model, text.toString()))
                    else -> result.toResponse(id)
                }
            } finally {
                text.release()
                mailbox.closeProducer()
                mailbox.closeConsumer()
            }
        },
    )
}

/** Text whose memory is counted in blocks. The request's task appends to it; the worker reads it after the task. */
private class BufferedText(private val budget: ByteBudget) {
    private val text = StringBuilder()
    private var bytes = 0
    private var blocks = 0

    /** Appends [part]; false if the text would exceed [MAX_BYTES] or no block is free. */
    fun append(part: String): Boolean {
        bytes += part.length * Char.SIZE_BYTES
        while (bytes > (blocks + 1) * ByteBudget.BLOCK_BYTES) {
            if (bytes > MAX_BYTES || !budget.tryAcquireBlock()) return false
            blocks += 1
        }
        text.append(part)
        return true
    }

    fun release() {
        budget.releaseBlocks(blocks)
        blocks = 0
    }

    override fun toString(): String = text.toString()

    private companion object {
        /** 32 times the mailbox limit of a streamed request. Longer responses have to be streamed. */
        const val MAX_BYTES = 2_097_152
    }
}
