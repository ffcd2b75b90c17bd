package redwingcross.version.fleet

import redwingcross.request.BackendServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against gateways that together send more requests to a cold back end than it can take. */
class ColdAllowanceTest {
    private val server = BackendServer("e1")

    @Test
    fun `the shares of all gateways sum to the limit for any number of gateways`() {
        for (count in listOf(1, 2, 7, 8, 85, 350)) {
            val names = (1..count).map { "gateway-$it" }.toSet()
            for (bound in listOf(2, 7, 44)) {
                val sum = names.sumOf { GatewayPlace(it, names).partOf(bound, server) }
                assertEquals(bound, sum, "$count gateways, limit $bound")
            }
        }
    }

    @Test
    fun `gateways that send at their maximum rate stay within the limit in every second`() {
        val names = (1..8).map { "gateway-$it" }.toSet()
        val bound = 44
        val sent = mutableListOf<Duration>()
        val gateways = names.map { GatewayPlace(it, names) to ColdAllowance() }
        for (step in 0 until 500) {
            val now = 10.milliseconds * step
            for ((place, allowance) in gateways) {
                while (allowance.admits(server, bound, place, now)) {
                    allowance.sent(server, now)
                    sent += now
                }
            }
        }
        for (step in 0 until 400) {
            val from = 10.milliseconds * step
            val count = sent.count { it >= from && it < from + 1000.milliseconds }
            assertTrue(count <= bound, "$count requests in the second from $from")
        }
    }
}
