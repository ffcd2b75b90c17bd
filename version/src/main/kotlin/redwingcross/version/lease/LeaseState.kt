package redwingcross.version.lease

import redwingcross.request.ProcessName
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** A lease that this process took and, as far as it knows, nobody has taken since. */
data class HeldLease(
    val seen: StoredLease,
    /** When the last renewal known to have taken effect was sent. */
    val renewedAt: Duration,
)

/** A write whose effect is not settled; [sentAt] is the time of the first try. */
data class UnsettledWrite(val record: LeaseRecord, val expected: LeaseVersion?, val sentAt: Duration)

/** A read or write that has not answered. */
data class LeaseCall(val number: Long, val write: Boolean)

/** State of one process with respect to the lease of one zone. All times are readings of its own clock. */
data class LeaseState(
    val self: ProcessName,
    /** Differs for each start of the process, so that a restarted process doesn't mistake its old lease for its own. */
    val incarnation: String,
    val settings: LeaseSettings = LeaseSettings(),
    val rank: Int = 0,
    val seen: StoredLease? = null,
    /** When [seen] was first read at its version. */
    val seenAt: Duration = Duration.ZERO,
    val held: HeldLease? = null,
    val unsettled: UnsettledWrite? = null,
    val call: LeaseCall? = null,
    val calls: Long = 0,
    val acquisitions: Long = 0,
    /** Earliest time of the next read or write. */
    val nextCallAt: Duration = Duration.ZERO,
    val releasing: Boolean = false,
) {
    /** Epoch under which this process may act at [now], or null. */
    fun validEpoch(now: Duration): LeaseEpoch? = validUntil()?.takeIf { now < it }?.let { held?.seen?.record?.epoch }

    /** End of the time in which this process may act under the lease that it holds. */
    fun validUntil(): Duration? = held?.takeIf {
        !releasing
    }?.let { it.renewedAt + settings.duration - settings.margin }
}
