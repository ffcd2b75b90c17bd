package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.version.routing.combineHashes
import redwingcross.version.routing.stableHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * This gateway's part of the requests that a cold back end bears in one second. The parts of all gateways sum to at
 * most the bound without messages; if the bound is smaller than the number of gateways, only the first ones of the
 * back end's rendezvous order have a part.
 */
class ColdAllowance(private val window: Duration = 1.seconds) {
    private val sent = HashMap<BackendServer, ArrayDeque<Duration>>()

    /** Whether one more request may go to [server] at [now], where all gateways may send [bound] in a second. */
    fun admits(server: BackendServer, bound: Int, place: GatewayPlace, now: Duration): Boolean {
        val times = sent[server] ?: return place.partOf(bound, server) > 0
        while (times.isNotEmpty() && times.first() <= now - window - MARGIN) times.removeFirst()
        return times.size < place.partOf(bound, server)
    }

    /** Counts a request that was sent. */
    fun sent(server: BackendServer, now: Duration) {
        sent.getOrPut(server) { ArrayDeque() }.addLast(now)
    }

    /** Forgets back ends that are no longer cold. */
    fun retain(servers: Set<BackendServer>) {
        sent.keys.retainAll(servers)
    }

    private companion object {
        /** Requests may be delayed on the way and arrive closer together than they were sent. */
        val MARGIN = 0.2.seconds
    }
}

/** This gateway among all gateways that may be running, as names that every gateway orders in the same way. */
class GatewayPlace(private val self: String, private val gateways: Set<String>) {
    /** Number of gateways that share a bound. */
    val count: Int get() = gateways.size.coerceAtLeast(1)

    /** This gateway's part of [bound] for [server]. */
    fun partOf(bound: Int, server: BackendServer): Int {
        val even = bound / count
        val remainder = bound % count
        if (remainder == 0) return even
        val key = stableHash(server.value)
        val own = combineHashes(key, stableHash(self))
        val ahead = gateways.count { it != self && combineHashes(key, stableHash(it)) > own }
        return even + if (ahead < remainder) 1 else 0
    }
}
