package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.version.routing.combineHashes
import redwingcross.version.routing.stableHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the requests per second that this gateway sends to a cold back end. Each gateway computes its own share of the
 * back end's limit without exchanging messages; the shares of all gateways sum to at most the limit. If the limit is
 * smaller than the number of gateways, only the first gateways in the back end's rendezvous order get a share.
 */
class ColdRateLimiter(private val window: Duration = 1.seconds) {
    private val sent = HashMap<BackendServer, ArrayDeque<Duration>>()

    /** Whether one more request may be sent to [server] at [now]; [limit] is the limit per second for all gateways. */
    fun admits(server: BackendServer, limit: Int, share: GatewayShare, now: Duration): Boolean {
        val times = sent[server] ?: return share.shareOf(limit, server) > 0
        while (times.isNotEmpty() && times.first() <= now - window - DELAY_MARGIN) times.removeFirst()
        return times.size < share.shareOf(limit, server)
    }

    /** Records a request that was sent to [server] at [now]. */
    fun recordSent(server: BackendServer, now: Duration) {
        sent.getOrPut(server) { ArrayDeque() }.addLast(now)
    }

    /** Removes the records of all back ends but [servers], the ones that are still cold. */
    fun retain(servers: Set<BackendServer>) {
        sent.keys.retainAll(servers)
    }

    private companion object {
        /** Extends the window, because network delays can make requests arrive closer together than they were sent. */
        val DELAY_MARGIN = 0.2.seconds
    }
}

/** Divides limits among all gateways that may be running; each gateway computes the same division from their names. */
class GatewayShare(private val self: String, private val gateways: Set<String>) {
    /** Number of gateways that share a limit; at least 1. */
    val count: Int get() = gateways.size.coerceAtLeast(1)

    /** This gateway's share of [limit] for [server]. A remainder goes to the first gateways in rendezvous order. */
    fun shareOf(limit: Int, server: BackendServer): Int {
        val even = limit / count
        val remainder = limit % count
        if (remainder == 0) return even
        val key = stableHash(server.value)
        val own = combineHashes(key, stableHash(self))
        val ahead = gateways.count { it != self && combineHashes(key, stableHash(it)) > own }
        return even + if (ahead < remainder) 1 else 0
    }
}
