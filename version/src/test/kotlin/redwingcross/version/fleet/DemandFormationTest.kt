package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.ModelName
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a model that lacks slots for long while groups of the other one idle, and against groups that move for
 * load that is over before their engines have changed. The pool is that of the Bagmati deployment, with 162 engines.
 */
class DemandFormationTest {
    private val big = ModelSpec(ModelName("big"), 12, 0.5, 16.seconds, 1.6.seconds)
    private val compact = ModelSpec(ModelName("compact"), 6, 0.5, 12.seconds, 1.1.seconds)
    private val bagmati = pool.copy(
        slots = 34,
        models = listOf(big, compact),
        loadsPerSecond = 4.0,
        concurrentLoads = 7,
    )

    private fun started(isOn: Boolean = true) = DemandSimulation(bagmati, 6, 27, isOn).also {
        it.run(60.seconds, trafficStarted = false)
        assertTrue(it.groups(big) >= 5 && it.groups(compact) >= 11, "${it.groups(big)}, ${it.groups(compact)}")
        it.demand = { model -> load(it, model, 0.5) }
        it.run(10.seconds)
    }

    private fun load(simulation: DemandSimulation, model: ModelName, utilisation: Double) =
        utilisation * bagmati.slots * simulation.groups(bagmati.models.first { it.name == model })

    /** The demand for the compact model exceeds the slots by a half from now on, while the other model idles. */
    private fun DemandSimulation.swell(isOver: () -> Boolean = { false }) {
        val slots = bagmati.slots * groups(compact)
        val calm = mapOf(big.name to 0.3 * bagmati.slots * groups(big), compact.name to 0.5 * slots)
        demand = { if (it == compact.name && !isOver()) 1.5 * slots else calm.getValue(it) }
    }

    private fun DemandSimulation.assertSound() = assertEquals(emptyList(), violations)

    @Test
    fun `a swell that lasts moves groups, one at a time and without rejecting requests`() {
        val fixed = started(isOn = false)
        val following = started()
        val before = following.groups(big) to following.groups(compact)
        for (simulation in listOf(fixed, following)) {
            simulation.served.clear()
            simulation.swell()
            simulation.run(150.seconds)
        }
        assertTrue(following.groups(big) in 2 until before.first, "${following.groups(big)} of ${before.first}")
        assertTrue(following.groups(compact) > before.second, "${following.groups(compact)} of ${before.second}")
        assertTrue(following.served.values.sum() > 1.1 * fixed.served.values.sum(), "$fixed ${following.events}")
        assertEquals(before, fixed.groups(big) to fixed.groups(compact))
        following.assertSound()
    }

    @Test
    fun `a surge of six seconds moves nothing, also the fifth time`() {
        val simulation = started()
        repeat(5) {
            val end = simulation.now + 6.seconds
            simulation.swell { simulation.now > end }
            simulation.run(20.seconds)
        }
        assertEquals(emptyList(), simulation.moves())
        assertTrue(simulation.events.any { it.event == "group_move_declined" })
        simulation.assertSound()
    }

    @Test
    fun `after swells of a minute groups move at the beginning of the next`() {
        val simulation = started()
        simulation.state = simulation.state.copy(
            trends = simulation.state.trends.mapValues { it.value.copy(lengths = List(3) { 60.seconds }) },
        )
        simulation.swell()
        simulation.run(6.seconds)
        assertEquals(1, simulation.moves().size)
    }

    @Test
    fun `load that oscillates by 55 percent within 15 seconds moves nothing`() {
        val simulation = started()
        val slots = bagmati.models.associate { it.name to bagmati.slots * simulation.groups(it) }
        simulation.demand = { model ->
            val phase = if (model == big.name) PI else 0.0
            0.7 * slots.getValue(model) * (1 + 0.55 * sin(2 * PI * (simulation.now / 15.seconds) + phase))
        }
        simulation.run(150.seconds)
        assertEquals(emptyList(), simulation.moves())
    }

    @Test
    fun `lost demand data end a move, and nothing is moved back`() {
        val simulation = started()
        simulation.swell()
        simulation.run(90.seconds)
        val groups = simulation.groups(big) to simulation.groups(compact)
        simulation.isDemandKnown = false
        simulation.run(60.seconds)
        assertEquals(1, simulation.events.count { it.event == "demand_lost" })
        assertTrue(simulation.groups(big) >= groups.first - 1 && simulation.groups(compact) >= groups.second)
        val moves = simulation.moves().size
        simulation.run(30.seconds)
        assertEquals(moves, simulation.moves().size)
        simulation.assertSound()
    }

    @Test
    fun `a paused controller forgets the surge that it saw`() {
        val simulation = started()
        simulation.swell()
        simulation.run(20.seconds)
        simulation.pause(15.seconds)
        simulation.run(8.seconds)
        assertEquals(emptyList(), simulation.moves())
    }

    @Test
    fun `no group is closed during an evacuation`() {
        val simulation = started()
        simulation.swell()
        simulation.run(1.seconds)
        val zones = setOf(AvailabilityZone("zone-d0"))
        simulation.table = simulation.table.withEvacuatedZones(zones, simulation.now, Duration.ZERO)
        simulation.run(120.seconds)
        assertEquals(emptyList(), simulation.moves())
    }

    /** Runs until the first group that moves is being closed. */
    private fun DemandSimulation.runToClosing() {
        swell()
        repeat(2_000) { if (formation.groups.values.none { it.isRetiredForDemand }) run(0.05.seconds) }
        assertTrue(formation.groups.values.any { it.isRetiredForDemand }, "$events")
    }

    @Test
    fun `engines lost during a move leave both models with their groups`() {
        val simulation = started()
        val before = simulation.groups(big)
        simulation.runToClosing()
        val moving = simulation.formation.groups.values.first { it.isRetiredForDemand }
        simulation.lose(moving.members.last())
        simulation.lose(simulation.formation.groups.values.first { it.model == compact.name }.members.last())
        simulation.run(12.seconds)
        assertEquals(1, simulation.moves().size, "no further group moves while lost ones are replaced")
        assertTrue(simulation.groups(big) >= before - 1)
        simulation.assertSound()
    }

    @Test
    fun `a successor that takes over in mid-move uses the engines of the closed group`() {
        val simulation = started()
        val before = simulation.groups(compact)
        simulation.runToClosing()
        simulation.run(1.seconds)
        simulation.takeOver()
        simulation.run(15.seconds)
        assertTrue(simulation.groups(compact) > before, "${simulation.groups(compact)} of $before")
        simulation.assertSound()
    }

    /** Slot seconds for 8 seeds while two engines are lost every 3 s for a minute and all slots are wanted. */
    private fun openUnderLosses(pool: ModelPool, domains: Int, size: Int, isOn: Boolean) = (1..8).map { seed ->
        val simulation = DemandSimulation(pool, domains, size, isOn)
        simulation.run(60.seconds, trafficStarted = false)
        simulation.demand = { 10_000.0 }
        simulation.served.clear()
        repeat(20) {
            simulation.replace(2, Random(100 * seed + it))
            simulation.run(3.seconds)
        }
        simulation.assertSound()
        simulation.served.values.sum()
    }

    @Test
    fun `engines lost and replaced by empty ones leave more slots open than with loads in the order of the list`() {
        val ebute = bagmati.copy(slots = 14, models = listOf(big.copy(groupSize = 8), compact.copy(groupSize = 2)))
        for ((pool, domains, size) in listOf(Triple(bagmati, 6, 27), Triple(ebute, 9, 18))) {
            val fixed = openUnderLosses(pool, domains, size, isOn = false)
            val following = openUnderLosses(pool, domains, size, isOn = true)
            assertTrue(following.average() > fixed.average(), "$fixed $following")
        }
    }

    @Test
    fun `a move for a surge pays only beyond the time that its engines need`() {
        val settings = DemandSettings()
        fun pays(missing: Int, remaining: Duration): Boolean {
            val cost = MoveArithmetic.cost(bagmati, compact, closed = 1, formed = 2, missing, settings)
            return MoveArithmetic.gain(cost, lacking = 68.0, remaining).pays
        }
        val staged = (1..60).first { pays(0, it.seconds) }
        val unstaged = (1..60).first { pays(12, it.seconds) }
        assertEquals(9 to 35, staged to unstaged)
    }
}
