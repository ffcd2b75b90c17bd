package redwingcross.version.lease

import redwingcross.request.ProcessName
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** A lease that this process acquired and that, according to its latest read, no other process has acquired since. */
data class HeldLease(
    /** The lease object as last written or read by this process. */
    val seen: StoredLease,
    /** Time at which the last renewal that took effect was sent. */
    val renewedAt: Duration,
)

/** A write whose outcome is not known yet; [sentAt] is the time of the first attempt. */
data class PendingWrite(val record: LeaseRecord, val expected: StorePosition?, val sentAt: Duration)

/** A read or write in progress. */
data class LeaseCall(val number: Long, val write: Boolean)

/** State of one process for the lease of one zone. All times are readings of the process's own clock. */
data class LeaseState(
    val self: ProcessName,
    /**
     * Differs for each start of [self], so that a restarted process does not treat its lease from before the restart as
     * held. Processes that start at the same moment may have the same.
     */
    val incarnation: String,
    val settings: LeaseSettings = LeaseSettings(),
    /** Position of this process in the rendezvous order of the zone, from 0. */
    val rank: Int = 0,
    /** The latest version of the lease object; null if it must be read. */
    val seen: StoredLease? = null,
    /** Time at which the version of [seen] was first observed. */
    val seenAt: Duration = Duration.ZERO,
    /** When the holder last announced its lease, renewed or not; null if this process never heard one. */
    val holderHeardAt: Duration? = null,
    /** When a read first showed that [seen] has not changed; null if no read did since a change or a failed call. */
    val unchangedAt: Duration? = null,
    /** Null while this process does not hold the lease. */
    val held: HeldLease? = null,
    val pending: PendingWrite? = null,
    /** The call in progress; at most one at a time. */
    val call: LeaseCall? = null,
    /** Number of calls so far. */
    val calls: Long = 0,
    /** Number of attempted acquisitions so far; makes their nonces unique. */
    val acquisitions: Long = 0,
    /** The newest era that the store stated to this process. */
    val era: StoreEra = StoreEra.FIRST,
    /** The newest era that another process named and for which this process has read the lease. */
    val claimedEra: StoreEra = StoreEra.FIRST,
    /** When this process learned of [era]; null in the first era. */
    val eraObservedAt: Duration? = null,
    /**
     * End of the time in which this process takes a lease of an earlier era over without waiting, because it acted as
     * the holder when it learned of [era]; null if it doesn't.
     */
    val continuesUntil: Duration? = null,
    /** Highest epoch that this process read, acquired or was told of, also in an earlier era. */
    val highestEpoch: LeaseEpoch = LeaseEpoch(0),
    /** Earliest time of the next read or write. */
    val nextCallAt: Duration = Duration.ZERO,
    /** Whether the process is shutting down and releases the lease. */
    val releasing: Boolean = false,
) {
    /** Epoch under which this process may act at [now]; null if it may not act. */
    fun validEpoch(now: Duration): LeaseEpoch? = validUntil()?.takeIf { now < it }?.let { held?.seen?.record?.epoch }

    /** Time until which this process may act under the lease that it holds; null if it holds none or releases it. */
    fun validUntil(): Duration? = held?.takeIf {
        !releasing
    }?.let { it.renewedAt + settings.duration - settings.margin }
}
