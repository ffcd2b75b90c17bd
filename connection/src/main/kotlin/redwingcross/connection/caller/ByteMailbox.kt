package redwingcross.connection.caller

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounded byte queue from the task that reads the back end (the producer) to the thread that writes to the caller (the
 * consumer). The producer is suspended while [limitBytes] or the process's [budget] is used up.
 */
internal class ByteMailbox(private val budget: ByteBudget, private val limitBytes: Int) {
    // Unlimited, because the byte accounting in putChunk bounds the number of elements.
    private val chunks = Channel<ByteArray>(Channel.UNLIMITED)
    private val consumed = Channel<Unit>(Channel.CONFLATED)
    private val queued = AtomicLong()
    private val openSides = AtomicInteger(2)
    private val isProducerOpen = AtomicBoolean(true)

    /** Number of shared blocks held. Only the producer accesses it until both sides are closed. */
    private var blocks = 0

    /** Bytes in the queue, including the overhead of each chunk. */
    val queuedBytes: Long get() = queued.get()

    /** Adds [bytes], suspending while there is no capacity; false if the consumer is closed. */
    suspend fun put(bytes: ByteArray): Boolean {
        var start = 0
        while (start < bytes.size) {
            val end = minOf(start + MAX_CHUNK_BYTES, bytes.size)
            if (!putChunk(if (end - start == bytes.size) bytes else bytes.copyOfRange(start, end))) return false
            start = end
        }
        return true
    }

    private suspend fun putChunk(chunk: ByteArray): Boolean {
        val cost = chunk.cost()
        while (queued.get() + cost > limitBytes) {
            releaseSurplus(cost)
            if (consumed.receiveCatching().isClosed) return false
        }
        releaseSurplus(cost)
        while (blocks < blocksFor(queued.get() + cost)) {
            if (!acquireBlock()) return false
        }
        queued.addAndGet(cost.toLong())
        return chunks.trySend(chunk).isSuccess
    }

    /**
     * Waits for a shared block, or for the consumer to take a chunk, which can make the block unnecessary; false if the
     * consumer is closed.
     */
    private suspend fun acquireBlock(): Boolean = select {
        budget.blocks.onReceive {
            budget.onBlockAcquired()
            blocks += 1
            true
        }
        consumed.onReceiveCatching { !it.isClosed }
    }

    private fun releaseSurplus(cost: Int) {
        val surplus = blocks - blocksFor(queued.get() + cost)
        if (surplus > 0) {
            blocks -= surplus
            budget.releaseBlocks(surplus)
        }
    }

    /** Ends the output. A [failure] is thrown to the consumer after the queued chunks. */
    fun closeProducer(failure: Throwable? = null) {
        chunks.close(failure)
        if (isProducerOpen.compareAndSet(true, false)) closeSide()
    }

    /** Waits for the next chunk; null at the end of the output. Throws the failure passed to [closeProducer]. */
    suspend fun take(): ByteArray? {
        val result = chunks.receiveCatching()
        result.exceptionOrNull()?.let { throw it }
        val chunk = result.getOrNull() ?: return null
        queued.addAndGet(-chunk.cost().toLong())
        consumed.trySend(Unit)
        return chunk
    }

    /** Drops the queued chunks and makes [put] return false. */
    fun closeConsumer() {
        if (consumed.close()) {
            chunks.cancel()
            closeSide()
        }
    }

    private fun closeSide() {
        if (openSides.decrementAndGet() == 0) {
            budget.releaseBlocks(blocks)
            blocks = 0
            budget.releaseMailbox()
        }
    }

    private companion object {
        /** Memory of the array header and the channel element, counted so that many small chunks are bounded too. */
        const val CHUNK_OVERHEAD_BYTES = 64

        /** With its overhead, a chunk always fits into the mailbox's reserved block. */
        const val MAX_CHUNK_BYTES = ByteBudget.BLOCK_BYTES - CHUNK_OVERHEAD_BYTES

        fun ByteArray.cost(): Int = size + CHUNK_OVERHEAD_BYTES

        fun blocksFor(bytes: Long): Int = ((bytes - 1).coerceAtLeast(0) / ByteBudget.BLOCK_BYTES).toInt()
    }
}
