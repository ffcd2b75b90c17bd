package redwingcross.version.routing

import redwingcross.version.control.ViewSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeouts and limits of the router. */
data class RouterSettings(
    val view: ViewSettings = ViewSettings(),
    /** Age at which a zone status expires; its groups get no more requests. */
    val statusLifetime: Duration = 8.seconds,
    /** Time for which a suspension is kept although another observer reports the group as ready. */
    val suspensionHold: Duration = 5.seconds,
    /** Maximum number of requests that wait for a slot at this gateway. */
    val queueLimit: Int = 1024,
    /** Time after which a waiting request is refused if its service has no usable server. */
    val noServerTimeout: Duration = 5.seconds,
    /** Delay before the first probe of a plain service instance that failed; it doubles with each failure. */
    val probeDelay: Duration = 1.seconds,
    val maxProbeDelay: Duration = 30.seconds,
    /** Retry delay sent to refused callers. */
    val retryAfter: Duration = 1.seconds,
    /** A time to first token above this multiple of the server's median shows that it lost its warm state. */
    val coldFactor: Double = 5.0,
    /** A server whose time to first token exceeds this multiple of the median of its service is a straggler. */
    val stragglerFactor: Double = 3.0,
    /** Divides the share of a straggler. It keeps at least one slot, so that its recovery can be detected. */
    val stragglerDivisor: Int = 4,
    /** Added to the utilization (0 to 1) of servers in other zones, so that servers of the same zone are preferred. */
    val otherZonePenalty: Double = 0.25,
)
