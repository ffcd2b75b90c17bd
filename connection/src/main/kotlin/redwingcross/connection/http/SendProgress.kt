package redwingcross.connection.http

import kotlin.time.Duration

/** What a connection has not written to its socket yet, and the clock reading at which that last changed. */
internal data class SendProgress(val unsentBytes: Long, val changedAt: Duration) {
    /** The progress after [unsentBytes] were found unsent at the clock reading [now]. */
    fun observed(unsentBytes: Long, now: Duration): SendProgress =
        if (unsentBytes == this.unsentBytes) this else SendProgress(unsentBytes, now)

    /** Whether the remote end has read too little for [limit] for more to be written. */
    fun isStalled(limit: Duration, now: Duration): Boolean = unsentBytes > 0 && now - changedAt > limit
}
