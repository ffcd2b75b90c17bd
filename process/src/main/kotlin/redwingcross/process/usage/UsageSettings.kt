package redwingcross.process.usage

import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the usage reports. They apply at the start of a process: processes that number their windows differently
 * at the same time would report requests twice.
 */
data class UsageSettings(
    /** Endpoint that takes the reports; null if the settings file states none. */
    val cloud: Endpoint?,
    /** Calls of any kind that the endpoint takes in a second. */
    val callsPerSecond: Double = 50.0,
    /** Reports that the endpoint takes in a second; it answers further ones with 429. */
    val reportsPerSecond: Double = 50.0,
    val bounds: UsageBounds = UsageBounds(),
)

/** Limits that the platform sets for the usage reports. */
data class UsageBounds(
    val windowLength: WindowLength = WindowLength(5.seconds),
    /** Time after the end of a window within which its report has to arrive. */
    val late: Duration = 10.seconds,
    /** Largest difference that a customer's count may have, as a fraction of the true count. */
    val tolerance: Double = 0.05,
    /** Time that a new holder waits before its first report. */
    val leaseTime: Duration = 3.seconds,
    /**
     * Time that the platform grants a resumed process to notice its pause. The holder checks its lease at each send and
     * doesn't rely on it.
     */
    val resumeSlack: Duration = 300.milliseconds,
    /** Whether the platform refuses calls without a fencing token. The holder always states one. */
    val fencingRequired: Boolean = false,
)

/** Times of the holder that follow from the bounds. */
data class UsageTimes(
    /** Time after the end of a window at which its content can be fixed, if every gateway was heard since. */
    val closeAfter: Duration,
    /** Time after the end of a window at which its content is fixed although a gateway has not been heard since. */
    val closeAtLatest: Duration,
    /** Time after the end of a window from which a gateway that was heard has delivered its last counts. */
    val delivered: Duration,
    /** Time after the end of a window after which its report is given up. */
    val expiry: Duration = 60.seconds,
) {
    companion object {
        /**
         * A takeover takes up to 1.8 s until the lease is acquired and then the lease time of 3 s. A window that was
         * fixed after half of the allowed time is still in time after one takeover. Gateways repeat a window's counts
         * 1 s after its end and send at most each second, so earlier content would often be incomplete.
         */
        fun of(bounds: UsageBounds) = UsageTimes(
            closeAfter = bounds.late * 0.25,
            closeAtLatest = bounds.late * 0.5,
            delivered = bounds.late * 0.22,
        )
    }
}
