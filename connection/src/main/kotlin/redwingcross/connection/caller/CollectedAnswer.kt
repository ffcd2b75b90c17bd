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
 * An answer that is sent as one document once it is complete. Its text takes blocks of the process's [budget]; it does
 * not wait for blocks, because collecting answers that wait for each other's blocks would all stand still.
 */
internal fun collectedAnswer(id: RequestId, model: ServiceName, mailbox: ByteMailbox, budget: ByteBudget): ModelAnswer {
    val ended = CompletableDeferred<ModelRequestResult>()
    val text = CollectedText(budget)
    return ModelAnswer(
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
                        .body(completeAnswer(id, model, text.toString()))
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

/** Text whose memory is counted in blocks; filled by the request's task and read by the worker after its end. */
private class CollectedText(private val budget: ByteBudget) {
    private val text = StringBuilder()
    private var bytes = 0
    private var blocks = 0

    /** False if the text would become larger than allowed. */
    fun append(part: String): Boolean {
        bytes += part.length * Char.SIZE_BYTES
        while (bytes > (blocks + 1) * ByteBudget.BLOCK_BYTES) {
            if (bytes > MAX_BYTES || !budget.tryTakeBlock()) return false
            blocks += 1
        }
        text.append(part)
        return true
    }

    fun release() {
        budget.giveBackBlocks(blocks)
        blocks = 0
    }

    override fun toString(): String = text.toString()

    private companion object {
        /** As much as 32 streamed requests hold at most; longer answers have to be streamed. */
        const val MAX_BYTES = 2_097_152
    }
}
