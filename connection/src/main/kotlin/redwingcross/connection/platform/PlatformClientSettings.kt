package redwingcross.connection.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Addresses and bounds of the platform client. */
data class PlatformClientSettings(
    /** Base URLs such as `http://10.0.0.5:7000`; a call that can't have had an effect is tried at the next one. */
    val baseUrls: List<String>,
    /** Whole time of one call at one base URL, and the longest time that a caller waits for its turn. */
    val callTimeout: Duration = 2.seconds,
    val connectTimeout: Duration = 500.milliseconds,
    /** Calls that run at the same time; further callers wait. */
    val concurrentCalls: Int = 16,
    /** Callers that may wait for their turn; more are refused. */
    val waitingCallers: Int = 256,
    /** Time by which the answer of a long poll may exceed its waiting time before the connection counts as silent. */
    val watchSilence: Duration = 2.seconds,
)
