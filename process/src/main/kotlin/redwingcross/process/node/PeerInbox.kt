package redwingcross.process.node

import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** News of peers on its way from the membership task to the task that uses it. */
sealed interface PeerNews {
    /** A confirmation stamp whose age counts from [requestedAt]. */
    class Stamp(val from: ProcessName, val stamp: ConfirmationStamp, val requestedAt: Duration) : PeerNews

    /** A zone status that was published at [publishedAt] on the process clock. */
    class Zone(val status: ZoneStatus, val publishedAt: Duration) : PeerNews

    class Cold(val report: ColdReport) : PeerNews
}

/**
 * Decouples the membership task, which must not wait, from the users of its news. When the mailbox is full the oldest
 * news is dropped: stamps and statuses are repeated with every round of gossip.
 */
class PeerInbox {
    private val mailbox = Channel<PeerNews>(MAILBOX, BufferOverflow.DROP_OLDEST)

    /** Takes news without waiting. */
    fun offer(news: PeerNews) {
        mailbox.trySend(news)
    }

    /** Hands each news to [use], one after the other, until cancelled. */
    suspend fun run(use: suspend (PeerNews) -> Unit) {
        for (news in mailbox) use(news)
    }

    private companion object {
        const val MAILBOX = 256
    }
}
