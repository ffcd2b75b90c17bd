package redwingcross.process.node

import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Update from a peer that the membership task passes to another task. */
sealed interface PeerUpdate {
    /** A confirmation stamp that was received from [from]; its age is relative to [requestedAt]. */
    class StampReceived(val from: ProcessName, val stamp: ConfirmationStamp, val requestedAt: Duration) : PeerUpdate

    /** A zone status that was published at [publishedAt] on the process clock. */
    class ZoneReceived(val status: ZoneStatus, val publishedAt: Duration) : PeerUpdate

    /** A report that a back end is cold. */
    class ColdReported(val report: ColdReport) : PeerUpdate
}

/**
 * Bounded queue between the membership task, which must not wait, and the receiver of its updates. When the queue is
 * full, the oldest update is dropped; stamps and statuses are repeated in every round of gossip.
 */
class PeerInbox {
    private val mailbox = Channel<PeerUpdate>(MAILBOX_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Adds an update without waiting. */
    fun offer(update: PeerUpdate) {
        mailbox.trySend(update)
    }

    /** Calls [onUpdate] with each update, one after the other, until cancelled. */
    suspend fun run(onUpdate: suspend (PeerUpdate) -> Unit) {
        for (update in mailbox) onUpdate(update)
    }

    private companion object {
        const val MAILBOX_CAPACITY = 256
    }
}
