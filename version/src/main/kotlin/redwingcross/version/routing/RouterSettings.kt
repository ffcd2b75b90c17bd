package redwingcross.version.routing

import redwingcross.version.control.ViewSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times and bounds of the router. */
data class RouterSettings(
    val view: ViewSettings = ViewSettings(),
    /** Age from which a zone status says nothing about its groups. */
    val statusLifetime: Duration = 8.seconds,
    /** Time for which a suspension holds against a ready status of another observer. */
    val suspensionHold: Duration = 5.seconds,
    /** Requests that may wait at this gateway. */
    val queueLimit: Int = 1024,
    /** Time that a request waits for a server while its service has none. */
    val emptyWait: Duration = 5.seconds,
    /** Delay before the first probe of a plain service instance that failed; it doubles with each failure. */
    val probeDelay: Duration = 1.seconds,
    val maxProbeDelay: Duration = 30.seconds,
    /** Hint to callers that were refused. */
    val retryAfter: Duration = 1.seconds,
    /** Time to first token, as a multiple of the server's usual one, that shows that a warm server turned cold. */
    val coldJump: Double = 5.0,
    /** Time to first token, as a multiple of the median of the service's servers, that makes a straggler. */
    val stragglerFactor: Double = 3.0,
    /** Divides the share of a straggler; it keeps at least one slot, so that its recovery is seen. */
    val stragglerDivisor: Int = 4,
    /** Used fraction that a server of another zone counts as used already, so that the same zone is preferred. */
    val otherZonePenalty: Double = 0.25,
)
