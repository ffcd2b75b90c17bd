package redwingcross.version.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times that bound how long an outdated view can have an effect. All gateways of a region must use the same values. */
data class ViewSettings(
    /** Time after which a view that nobody confirmed admits no more work. */
    val viewLifetime: Duration = 5.seconds,
    /** Longest time that one attempt runs at a back end. */
    val maxRequestDuration: Duration = 120.seconds,
    /**
     * Time for which a gateway that left the roster goes on with its old share. Callers keep the list of addresses for
     * 10 s, gossip tells the last node after up to 5 s, and callers that still connect must not be refused because of a
     * planned change.
     */
    val departureGrace: Duration = 15.seconds,
) {
    /**
     * Time after which no request runs any more that was admitted under a replaced roster: a gateway may admit under
     * it until its view expires, and for [departureGrace] more when it left the roster; the request then runs for at
     * most [maxRequestDuration].
     */
    val shareTransition: Duration get() = maxRequestDuration + viewLifetime + departureGrace
}
