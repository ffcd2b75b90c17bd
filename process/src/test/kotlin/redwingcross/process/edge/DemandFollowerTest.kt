package redwingcross.process.edge

import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FormationState
import redwingcross.version.fleet.FormedGroup
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupStage
import redwingcross.version.fleet.ModelDemand
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.ModelSpec
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against demand that is measured at each step of the formation, and against plans from an earlier lease. */
class DemandFollowerTest {
    private val model = ModelSpec(ModelName("m"), 1, 1.0, 12.seconds, 1.1.seconds)
    private val pool = ModelPool(10, listOf(model), 5.0, 7, 300.milliseconds, 200.milliseconds)
    private val service = ServiceSpec(ServiceName("pool"), 300, 3.seconds, 26.0, pool)
    private val group = FormedGroup(
        GroupId("m.1-1"),
        GroupEpoch(1),
        model.name,
        listOf(BackendServer("e1")),
        GroupStage.SERVING,
        Duration.ZERO,
    )
    private var now = 10.seconds
    private var measured = 0
    private var waiting = emptyList<ModelDemand>()
    private var isHeard = true
    private val events = mutableListOf<String>()
    private val follower = DemandFollower(
        DemandDependencies(
            { EngineTable() },
            { mapOf(BackendServer("e1") to 9).also { measured++ } },
            { isHeard },
            { waiting },
        ),
        MonotonicClock { now },
        { event, _ -> events += event },
    )

    private fun run(duration: Duration, lease: Long = 1) {
        val end = now + duration
        val formation = FormationState(LeaseEpoch(lease), persistentHashMapOf(group.id to group))
        while (now < end) {
            now += 20.milliseconds
            follower.plan(service, pool, formation)
        }
    }

    @Test
    fun `demand is measured twice a second, however often groups are formed`() {
        run(10.seconds)
        assertEquals(20, measured)
        assertEquals(listOf("demand_surge"), events.filter { it == "demand_surge" })
    }

    @Test
    fun `waiting requests count in addition to those in flight`() {
        waiting = listOf(ModelDemand(model.name, 0, waiting = 21))
        run(5.seconds)
        val formation = FormationState(LeaseEpoch(1), persistentHashMapOf(group.id to group))
        assertEquals(mapOf(model.name to 4), follower.plan(service, pool, formation).targets)
    }

    @Test
    fun `a later lease starts without the surge of the earlier one, and a fleet that is not heard ends it`() {
        run(5.seconds)
        run(1.seconds, lease = 2)
        assertEquals(1, events.count { it == "demand_surge" })
        run(3.seconds, lease = 2)
        isHeard = false
        run(6.seconds, lease = 2)
        assertEquals(2, events.count { it == "demand_surge" })
        assertEquals("demand_lost", events.last())
    }
}
