package redwingcross.connection.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Addresses, limits and timeouts of [PlatformClient]. */
data class PlatformClientSettings(
    /** Base URLs such as `http://10.0.0.5:7000`. A call that can't have had an effect is retried at the next one. */
    val baseUrls: List<String>,
    /** Timeout of one call at one base URL, and the longest time that a call is queued. */
    val callTimeout: Duration = 2.seconds,
    val connectTimeout: Duration = 500.milliseconds,
    /** Largest number of concurrent calls; further calls are queued. */
    val maxConcurrentCalls: Int = 16,
    /** Largest number of queued calls; further calls fail at once. */
    val maxWaitingCalls: Int = 256,
    /** Time that is added to the wait of a long poll to get its timeout. */
    val longPollGrace: Duration = 2.seconds,
)
