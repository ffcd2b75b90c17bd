package redwingcross.version.fleet

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** No partial group opens and no engine is in two groups, whatever happens to engines, orders and controllers. */
class FormationProperties {
    @Test
    fun `groups of every model serve when the lead is over`() {
        val world = FormationWorld(seed = 1, controllers = 1, engineCount = 30, late = 0.0)
        world.run(15.seconds, trafficStarted = false)
        assertTrue(world.servingGroups() >= 8, "${world.servingGroups()} groups")
        assertEquals(emptyList(), world.violations)
    }

    @Test
    fun `a group that loses a member is replaced from spares and survivors`() {
        val world = FormationWorld(seed = 2, controllers = 1, engineCount = 30, late = 0.0)
        world.run(15.seconds, trafficStarted = false)
        val before = world.servingGroups()
        world.crash(1, returnAfter = null)
        world.run(6.seconds, trafficStarted = true)
        assertTrue(world.servingGroups() >= before - 1, "$before before, ${world.servingGroups()} after")
    }

    @Property(tries = 25, seed = "51")
    fun `crashes, restarts and late orders open no partial group`(@ForAll @IntRange(min = 0, max = 9999) seed: Int) {
        val world = FormationWorld(seed, controllers = 1, engineCount = 20, late = 0.3)
        world.run(12.seconds, trafficStarted = false)
        repeat(4) {
            world.crash(2, returnAfter = 3.seconds)
            world.run(4.seconds, trafficStarted = true)
        }
        assertEquals(emptyList(), world.violations, "seed $seed")
    }

    @Property(tries = 25, seed = "52")
    fun `two controllers at once open no partial group`(@ForAll @IntRange(min = 0, max = 9999) seed: Int) {
        val world = FormationWorld(seed, controllers = 2, engineCount = 20, late = 0.2)
        world.run(12.seconds, trafficStarted = false)
        world.crash(2, returnAfter = 3.seconds)
        world.run(8.seconds, trafficStarted = true)
        assertEquals(emptyList(), world.violations, "seed $seed")
    }
}
