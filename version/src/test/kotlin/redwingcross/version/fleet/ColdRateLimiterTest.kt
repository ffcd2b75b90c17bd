package redwingcross.version.fleet

import redwingcross.request.BackendServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against gateways that together send more requests to a cold back end than it can take. */
class ColdRateLimiterTest {
    private val server = BackendServer("e1")

    @Test
    fun `the shares of all gateways sum to the limit for any number of gateways`() {
        for (count in listOf(1, 2, 7, 8, 85, 350)) {
            val names = (1..count).map { "gateway-$it" }.toSet()
            for (limit in listOf(2, 7, 44)) {
                val sum = names.sumOf { GatewayShare(it, names).shareOf(limit, server) }
                assertEquals(limit, sum, "$count gateways, limit $limit")
            }
        }
    }

    @Test
    fun `gateways that send at their maximum rate stay within the limit in every second`() {
        val names = (1..8).map { "gateway-$it" }.toSet()
        val limit = 44
        val sent = mutableListOf<Duration>()
        val gateways = names.map { GatewayShare(it, names) to ColdRateLimiter() }
        for (step in 0 until 500) {
            val now = 10.milliseconds * step
            for ((share, limiter) in gateways) {
                while (limiter.admits(server, limit, share, now)) {
                    limiter.recordSent(server, now)
                    sent += now
                }
            }
        }
        for (step in 0 until 400) {
            val from = 10.milliseconds * step
            val count = sent.count { it >= from && it < from + 1000.milliseconds }
            assertTrue(count <= limit, "$count requests in the second from $from")
        }
    }
}
