package redwingcross.version.fleet

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against partial groups that open and engines that are in two groups, while engines crash, orders arrive late
 * and several controllers act at once.
 */
class FormationProperties {
    @Test
    fun `groups are formed and serve within 15 seconds before traffic starts`() {
        val simulation = FormationSimulation(seed = 1, controllers = 1, engineCount = 30, lateOrderFraction = 0.0)
        simulation.run(15.seconds, trafficStarted = false)
        assertTrue(simulation.servingGroups() >= 8, "${simulation.servingGroups()} groups")
        assertEquals(emptyList(), simulation.violations)
    }

    @Test
    fun `a group that loses a member is replaced by a group of spares and remaining members`() {
        val simulation = FormationSimulation(seed = 2, controllers = 1, engineCount = 30, lateOrderFraction = 0.0)
        simulation.run(15.seconds, trafficStarted = false)
        val before = simulation.servingGroups()
        simulation.crash(1, returnAfter = null)
        simulation.run(6.seconds, trafficStarted = true)
        assertTrue(simulation.servingGroups() >= before - 1, "$before before, ${simulation.servingGroups()} after")
    }

    @Property(tries = 25, seed = "51")
    fun `crashes, restarts and late orders open no partial group`(@ForAll @IntRange(min = 0, max = 9999) seed: Int) {
        val simulation = FormationSimulation(seed, controllers = 1, engineCount = 20, lateOrderFraction = 0.3)
        simulation.run(12.seconds, trafficStarted = false)
        repeat(4) {
            simulation.crash(2, returnAfter = 3.seconds)
            simulation.run(4.seconds, trafficStarted = true)
        }
        assertEquals(emptyList(), simulation.violations, "seed $seed")
    }

    @Property(tries = 25, seed = "52")
    fun `two concurrent controllers open no partial group`(@ForAll @IntRange(min = 0, max = 9999) seed: Int) {
        val simulation = FormationSimulation(seed, controllers = 2, engineCount = 20, lateOrderFraction = 0.2)
        simulation.run(12.seconds, trafficStarted = false)
        simulation.crash(2, returnAfter = 3.seconds)
        simulation.run(8.seconds, trafficStarted = true)
        assertEquals(emptyList(), simulation.violations, "seed $seed")
    }

    @Property(tries = 25, seed = "54")
    fun `silent engines, crashes and a new controller open no partial group`(
        @ForAll @IntRange(min = 0, max = 9999) seed: Int,
    ) {
        val simulation = FormationSimulation(seed, controllers = 1, engineCount = 20, lateOrderFraction = 0.2)
        simulation.run(12.seconds, trafficStarted = false)
        repeat(4) { round ->
            simulation.silenceSome(8)
            simulation.run(1.seconds, trafficStarted = true)
            simulation.crash(1, returnAfter = 2.seconds)
            if (round % 2 == 1) simulation.takeOver(unlisted = emptySet())
            simulation.run(3.seconds, trafficStarted = true)
        }
        assertEquals(emptyList(), simulation.violations, "seed $seed")
    }

    @Property(tries = 25, seed = "53")
    fun `engines at the addresses of lost ones open no partial group`(
        @ForAll @IntRange(min = 0, max = 9999) seed: Int,
    ) {
        val simulation = FormationSimulation(seed, controllers = 1, engineCount = 20, lateOrderFraction = 0.1)
        simulation.run(12.seconds, trafficStarted = false)
        repeat(4) {
            simulation.replaceAtSameAddresses(8)
            simulation.run(5.seconds, trafficStarted = false)
        }
        assertEquals(emptyList(), simulation.violations, "seed $seed")
    }
}
