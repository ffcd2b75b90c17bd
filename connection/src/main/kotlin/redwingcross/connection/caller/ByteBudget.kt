package redwingcross.connection.caller

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import java.util.concurrent.atomic.AtomicLong

/**
 * Memory for output that callers have not taken yet, shared by all requests of the process. Blocks are messages in a
 * channel, so that waiting requests are served in the order of their arrival and nothing is locked.
 *
 * Each mailbox has one block of its own from the start. A fast caller therefore goes on receiving while slow callers
 * hold all other blocks.
 */
class ByteBudget(totalBytes: Long = DEFAULT_TOTAL_BYTES, private val maxMailboxes: Int = DEFAULT_MAX_MAILBOXES) {
    private val shared = permits((totalBytes / BLOCK_BYTES).toInt() - maxMailboxes)
    private val own = permits(maxMailboxes)

    private val heldBlocks = AtomicLong()

    /** Bytes that open mailboxes and collected answers hold now, for metrics and the state dump. */
    val heldBytes: Long get() = heldBlocks.get() * BLOCK_BYTES

    /** Blocks that any mailbox may take in addition to its own. */
    internal val blocks: ReceiveChannel<Unit> get() = shared

    /** Opens a mailbox of at most [limitBytes]; null if [maxMailboxes] are open. */
    internal fun openMailbox(limitBytes: Int = MAILBOX_BYTES): ByteMailbox? =
        if (own.tryReceive().isSuccess) ByteMailbox(this, limitBytes).also { blockTaken() } else null

    /** Takes one block if one is free. */
    internal fun tryTakeBlock(): Boolean = shared.tryReceive().isSuccess.also { if (it) blockTaken() }

    /** Counts a block that was received from [blocks]. */
    internal fun blockTaken() {
        heldBlocks.incrementAndGet()
    }

    internal fun giveBackBlocks(count: Int) = repeat(count) {
        heldBlocks.decrementAndGet()
        check(shared.trySend(Unit).isSuccess)
    }

    internal fun giveBackMailbox() {
        heldBlocks.decrementAndGet()
        check(own.trySend(Unit).isSuccess)
    }

    companion object {
        internal const val BLOCK_BYTES = 4096

        /** Per request, so that one slow caller holds at most 1/512 of the budget. */
        internal const val MAILBOX_BYTES = 65_536

        /** Smallest budget with a block for each of [maxMailboxes] mailboxes and one that they share. */
        fun smallestTotalBytes(maxMailboxes: Int): Long = (maxMailboxes + 1L) * BLOCK_BYTES

        private const val DEFAULT_TOTAL_BYTES = 33_554_432L
        private const val DEFAULT_MAX_MAILBOXES = 1024
    }
}

private fun permits(count: Int): Channel<Unit> {
    require(count > 0) { "the budget must hold at least one shared block beside one block for each mailbox" }
    // A receiver that is cancelled after it got a permit gives the permit back here.
    lateinit var channel: Channel<Unit>
    channel = Channel(count, onUndeliveredElement = { channel.trySend(Unit) })
    repeat(count) { channel.trySend(Unit) }
    return channel
}
