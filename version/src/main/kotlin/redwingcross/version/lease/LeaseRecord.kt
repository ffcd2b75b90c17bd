package redwingcross.version.lease

import kotlinx.serialization.Serializable
import redwingcross.request.ProcessName
import redwingcross.version.fleet.StorePosition
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The value of the platform object `lease/{zone}`. */
@Serializable
data class LeaseRecord(
    /** Null after the holder released the lease; any process can then acquire it at once. */
    val holder: ProcessName?,
    val epoch: LeaseEpoch,
    /** Identifies the acquisition, so that its writer recognises it after a lost answer and after a restart. */
    val nonce: String,
    val duration: Duration,
    /**
     * Number of renewals since the acquisition. It makes the record differ with each renewal: the store gives no new
     * version to a write that changes nothing, and a standby that missed the renewals would then take the lease.
     */
    val renewal: Long = 0,
)

/** A lease record with the version of its object. */
data class StoredLease(val version: StorePosition, val record: LeaseRecord)

/** Durations of a lease. Safe while the clocks of two controllers drift by less than [margin] during [duration]. */
data class LeaseSettings(
    val duration: Duration = 10.seconds,
    val renewInterval: Duration = 3.seconds,
    /** Ends the holder's validity early, before a standby whose clock runs faster can take over. */
    val margin: Duration = 2.seconds,
    /** Interval of reads and writes while the state of the lease is unknown. */
    val retryInterval: Duration = 1.seconds,
    /** Added for each rank of a standby, so that standbys don't read and write the lease at the same time. */
    val rankDelay: Duration = 2.seconds,
    /**
     * Time since the last renewal after which a standby that hears the holder reads the lease: the holder may be the
     * only process that the store turns away. Longer than a renewal usually takes to be announced.
     */
    val renewalOverdueAfter: Duration = 6.seconds,
    /**
     * Time for which the store must have shown an unchanged lease before a standby takes it from a holder that it
     * hears. After an outage for all processes, the holder renews within this time.
     */
    val confirmDelay: Duration = 2.seconds,
    /** Interval of reads that fail while the holder is heard: then the store is probably down for all processes. */
    val outageRetryInterval: Duration = 5.seconds,
    /**
     * Whether a process takes over without delay the lease that an earlier start of the same process held: that start
     * has ended. Needs incarnations that are the times of the starts in milliseconds.
     */
    val reclaimsAfterRestart: Boolean = false,
)
