package redwingcross.version.lease

import kotlinx.serialization.Serializable
import redwingcross.request.ProcessName
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The value of the platform object `lease/{zone}`. */
@Serializable
data class LeaseRecord(
    /** Null after the holder released the lease; then anyone may take it at once. */
    val holder: ProcessName?,
    val epoch: LeaseEpoch,
    /** Identifies the acquisition, so that its writer recognises it after a lost answer and after a restart. */
    val nonce: String,
    val duration: Duration,
)

/** Version of the lease object, as given by its store. */
@JvmInline
value class LeaseVersion(val value: Long) : Comparable<LeaseVersion> {
    override fun compareTo(other: LeaseVersion): Int = value.compareTo(other.value)
}

/** A lease record with the version of its object. */
data class StoredLease(val version: LeaseVersion, val record: LeaseRecord)

/** Times of a lease. Safe while the clocks of two controllers run apart by less than [margin] in [duration]. */
data class LeaseSettings(
    val duration: Duration = 10.seconds,
    val renewInterval: Duration = 3.seconds,
    /** Stops the holder before a standby whose clock runs faster can take over. */
    val margin: Duration = 2.seconds,
    /** Pause between two reads or attempts that did not settle the lease. */
    val retryInterval: Duration = 1.seconds,
    /** Added for each rank of a standby, so that standbys don't read and write the lease all at once. */
    val rankDelay: Duration = 2.seconds,
)
