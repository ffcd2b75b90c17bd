package redwingcross.connection.caller

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Output on its way from the task that reads the back end (the producer) to the one that writes to the caller (the
 * consumer). It is bounded by [limitBytes] and by the process's [budget]; the producer waits when either is used up.
 */
internal class ByteMailbox(private val budget: ByteBudget, private val limitBytes: Int) {
    // The number of elements is bounded by the accounting of bytes below.
    private val pieces = Channel<ByteArray>(Channel.UNLIMITED)
    private val taken = Channel<Unit>(Channel.CONFLATED)
    private val queued = AtomicLong()
    private val openSides = AtomicInteger(2)
    private val isProducerOpen = AtomicBoolean(true)

    /** Shared blocks held; owned by the producer until both sides are closed. */
    private var blocks = 0

    /** Bytes that wait, with the overhead of each piece. */
    val queuedBytes: Long get() = queued.get()

    /** Waits for room and adds [bytes]; false if the consumer has gone. */
    suspend fun put(bytes: ByteArray): Boolean {
        var start = 0
        while (start < bytes.size) {
            val end = minOf(start + MAX_PIECE_BYTES, bytes.size)
            if (!putPiece(if (end - start == bytes.size) bytes else bytes.copyOfRange(start, end))) return false
            start = end
        }
        return true
    }

    private suspend fun putPiece(piece: ByteArray): Boolean {
        val cost = piece.cost()
        while (queued.get() + cost > limitBytes) {
            giveBackSurplus(cost)
            if (taken.receiveCatching().isClosed) return false
        }
        giveBackSurplus(cost)
        while (blocks < blocksFor(queued.get() + cost)) {
            if (!takeBlock()) return false
        }
        queued.addAndGet(cost.toLong())
        return pieces.trySend(piece).isSuccess
    }

    /** Waits for a block or for the consumer, who may make the block unnecessary; false if the consumer has gone. */
    private suspend fun takeBlock(): Boolean = select {
        budget.blocks.onReceive {
            budget.blockTaken()
            blocks += 1
            true
        }
        taken.onReceiveCatching { !it.isClosed }
    }

    private fun giveBackSurplus(cost: Int) {
        val surplus = blocks - blocksFor(queued.get() + cost)
        if (surplus > 0) {
            blocks -= surplus
            budget.giveBackBlocks(surplus)
        }
    }

    /** Ends the output; with a [failure] the consumer gets it after the pieces that wait. */
    fun closeProducer(failure: Throwable? = null) {
        pieces.close(failure)
        if (isProducerOpen.compareAndSet(true, false)) closeSide()
    }

    /** The next piece; null at the end. */
    suspend fun take(): ByteArray? {
        val result = pieces.receiveCatching()
        result.exceptionOrNull()?.let { throw it }
        val piece = result.getOrNull() ?: return null
        queued.addAndGet(-piece.cost().toLong())
        taken.trySend(Unit)
        return piece
    }

    /** Drops what waits and makes [put] return false. */
    fun closeConsumer() {
        if (taken.close()) {
            pieces.cancel()
            closeSide()
        }
    }

    private fun closeSide() {
        if (openSides.decrementAndGet() == 0) {
            budget.giveBackBlocks(blocks)
            blocks = 0
            budget.giveBackMailbox()
        }
    }

    private companion object {
        /** Memory of the array header and the channel's slot, so that many small pieces are bounded too. */
        const val PIECE_OVERHEAD_BYTES = 64

        /** A piece always fits into the mailbox's own block. */
        const val MAX_PIECE_BYTES = ByteBudget.BLOCK_BYTES - PIECE_OVERHEAD_BYTES

        fun ByteArray.cost(): Int = size + PIECE_OVERHEAD_BYTES

        fun blocksFor(bytes: Long): Int = ((bytes - 1).coerceAtLeast(0) / ByteBudget.BLOCK_BYTES).toInt()
    }
}
