package redwingcross.version.routing

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.StringLength
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against gateways that together exceed or do not use a server's limit, and against shares that shrink when a
 * gateway leaves the set.
 */
class CapacityShareProperties {
    @Property(seed = "20261204", tries = 100)
    fun `the shares of all gateways sum to the limit and grow when another gateway leaves`(
        @ForAll @IntRange(min = 1, max = 350) gateways: Int,
        @ForAll @IntRange(min = 0, max = 1000) limit: Int,
        @ForAll @StringLength(max = 20) server: String,
    ) {
        val gatewaySet = (0 until gateways).map(::gatewayName).toSet()
        val shares = gatewaySet.associateWith { RendezvousPlace.of(server, it, gatewaySet)!!.shareOf(limit) }
        assertEquals(limit, shares.values.sum())
        assertTrue(shares.values.max() - shares.values.min() <= 1)

        val smaller = gatewaySet - gatewayName(gateways - 1)
        assertTrue(smaller.all { RendezvousPlace.of(server, it, smaller)!!.shareOf(limit) >= shares.getValue(it) })
    }
}
