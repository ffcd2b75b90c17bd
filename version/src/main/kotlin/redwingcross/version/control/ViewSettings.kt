package redwingcross.version.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times that limit how long an outdated view can have an effect. All gateways of a region must use the same values. */
data class ViewSettings(
    /** Time after which an unconfirmed view becomes stale, so that no more requests are admitted. */
    val viewLifetime: Duration = 5.seconds,
    /** Maximum time for which one attempt runs at a back end. */
    val maxRequestDuration: Duration = 120.seconds,
    /**
     * Time for which a gateway that left the gateway set continues to use its old share, so that callers that still
     * connect to it are not refused because of a planned change. Callers cache the list of addresses for 10 s, and
     * gossip reaches the last node after up to 5 s.
     */
    val departureGrace: Duration = 15.seconds,
) {
    /**
     * Time after which all requests admitted under a replaced gateway set have ended: a gateway may admit requests
     * under it until its view expires, plus [departureGrace] if it left the set, and a request runs for at most
     * [maxRequestDuration].
     */
    val shareTransition: Duration get() = maxRequestDuration + viewLifetime + departureGrace
}
