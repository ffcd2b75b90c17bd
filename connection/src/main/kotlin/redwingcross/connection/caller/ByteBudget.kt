package redwingcross.connection.caller

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the memory for output that has not been written to callers yet, over all requests of the process. Memory is
 * accounted for in blocks. Free blocks are elements of a channel, so waiting requests are served in FIFO order without
 * a lock.
 *
 * One block is reserved for each mailbox, so that the output of a fast caller makes progress while slow callers hold
 * all shared blocks.
 *
 * @param totalBytes size of the budget, at least [smallestTotalBytes] of [maxMailboxes]
 * @param maxMailboxes number of mailboxes that can be open at the same time
 */
class ByteBudget(totalBytes: Long = DEFAULT_TOTAL_BYTES, private val maxMailboxes: Int = DEFAULT_MAX_MAILBOXES) {
    private val shared = permits((totalBytes / BLOCK_BYTES).toInt() - maxMailboxes)
    private val reserved = permits(maxMailboxes)

    private val heldBlocks = AtomicLong()

    /** Bytes in the blocks that open mailboxes and buffered responses hold now, for metrics and the state dump. */
    val heldBytes: Long get() = heldBlocks.get() * BLOCK_BYTES

    /** Free shared blocks, which any mailbox can acquire in addition to its reserved one. */
    internal val blocks: ReceiveChannel<Unit> get() = shared

    /** Opens a mailbox of at most [limitBytes]; null if [maxMailboxes] are open already. */
    internal fun openMailbox(limitBytes: Int = MAILBOX_BYTES): ByteMailbox? =
        if (reserved.tryReceive().isSuccess) ByteMailbox(this, limitBytes).also { onBlockAcquired() } else null

    /** Acquires a shared block without waiting; false if none is free. */
    internal fun tryAcquireBlock(): Boolean = shared.tryReceive().isSuccess.also { if (it) onBlockAcquired() }

    /** Counts a block as held after it was received from [blocks]. */
    internal fun onBlockAcquired() {
        heldBlocks.incrementAndGet()
    }

    internal fun releaseBlocks(count: Int) = repeat(count) {
        heldBlocks.decrementAndGet()
        check(shared.trySend(Unit).isSuccess)
    }

    internal fun releaseMailbox() {
        heldBlocks.decrementAndGet()
        check(reserved.trySend(Unit).isSuccess)
    }

    companion object {
        internal const val BLOCK_BYTES = 4096

        /** Limit of each request's mailbox. A slow caller holds at most 1/512 of the default budget. */
        internal const val MAILBOX_BYTES = 65_536

        /** Smallest budget in bytes: a reserved block for each of [maxMailboxes] mailboxes and one shared block. */
        fun smallestTotalBytes(maxMailboxes: Int): Long = (maxMailboxes + 1L) * BLOCK_BYTES

        private const val DEFAULT_TOTAL_BYTES = 33_554_432L
        private const val DEFAULT_MAX_MAILBOXES = 1024
    }
}

private fun permits(count: Int): Channel<Unit> {
    require(count > 0) { "the budget must contain one block for each mailbox and at least one shared block" }
    // Returns the permit of a receiver that is cancelled after the permit was sent to it.
    lateinit var channel: Channel<Unit>
    channel = Channel(count, onUndeliveredElement = { channel.trySend(Unit) })
    repeat(count) { channel.trySend(Unit) }
    return channel
}
