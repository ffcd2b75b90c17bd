package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.UpdateSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a fleet view that goes back to outdated state: an older configuration or announcement, or back ends
 * that are removed because their entries expired while the store was unavailable.
 */
class FleetDecisionTest {
    private val id = BackendServer("e1")
    private val limits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds)

    private fun configuration(version: Long) =
        FleetConfiguration(ConfigurationVersion(version), emptyList(), emptyMap(), limits, emptyList())

    private fun server(name: String) = EngineStatus(
        BackendServer(name), ServiceName("app"), Endpoint("10.0.0.1:80"), AvailabilityZone("a"), 6, false,
        Duration.ZERO, EngineStart(1), null, emptyList(), null,
    )

    private fun applyAll(vararg steps: Pair<Duration, FleetUpdate>): FleetState =
        steps.fold(FleetState()) { state, (now, update) -> FleetDecision.onUpdate(state, update, now) }

    @Test
    fun `a stale read of an older configuration does not replace a newer one`() {
        val state = applyAll(
            1.seconds to FleetUpdate.ConfigurationChanged(configuration(7)),
            2.seconds to FleetUpdate.ConfigurationChanged(configuration(5)),
        )
        assertEquals(ConfigurationVersion(7), state.configuration?.version)
    }

    @Test
    fun `a configuration of the copy does not replace a newer one, and one that is written again is taken`() {
        val versions = listOf(7L, 5L, 7L, 8L)
        val written = versions.map(::configuration)
        val steps = written.map { 2.seconds to FleetUpdate.ConfigurationChanged(it) }
        val restored = 1.5.seconds to FleetUpdate.StoreRestored(StoreEra(6))
        val states = (2..4).map { applyAll(steps.first(), restored, *steps.take(it).drop(1).toTypedArray()) }
        assertEquals(listOf(written[0], written[2], written[3]), states.map { it.configuration })
    }

    @Test
    fun `a back end whose entry is deleted is removed at once while the store is available`() {
        val state = applyAll(
            1.seconds to FleetUpdate.ServerChanged(server("e1")),
            2.seconds to FleetUpdate.ServerRemoved(id),
        )
        assertFalse(id in state.table.engines)
    }

    @Test
    fun `back ends whose entries expired while the store was unavailable are kept for a grace period`() {
        val state = applyAll(
            1.seconds to FleetUpdate.ServerChanged(server("e1")),
            2.seconds to FleetUpdate.Interrupted(UpdateSource.BACKEND_SERVERS, null),
            6.seconds to FleetUpdate.Confirmed(UpdateSource.BACKEND_SERVERS, StorePosition.inFirstEra(1)),
            6.seconds to FleetUpdate.ServersListed(emptyList()),
        )
        assertTrue(id in FleetDecision.expired(state, 7.seconds).table.engines)
        assertFalse(id in FleetDecision.expired(state, 9.seconds).table.engines)
        val returned = FleetDecision.onUpdate(state, FleetUpdate.ServerChanged(server("e1")), 7.seconds)
        assertTrue(id in FleetDecision.expired(returned, 9.seconds).table.engines)
    }

    @Test
    fun `back ends whose entries expired in a second outage of the store are kept as in the first`() {
        val confirmed = FleetUpdate.Confirmed(UpdateSource.BACKEND_SERVERS, StorePosition.inFirstEra(1))
        val state = applyAll(
            1.seconds to FleetUpdate.ServerChanged(server("e1")),
            2.seconds to FleetUpdate.Interrupted(UpdateSource.BACKEND_SERVERS, null),
            6.seconds to confirmed,
            50.seconds to FleetUpdate.Interrupted(UpdateSource.BACKEND_SERVERS, null),
            60.seconds to FleetUpdate.ServersListed(emptyList()),
            60.seconds to confirmed,
        )
        assertTrue(id in FleetDecision.expired(state, 61.seconds).table.engines)
        assertFalse(id in FleetDecision.expired(state, 63.seconds).table.engines)
    }

    @Test
    fun `an announcement of groups under an older lease epoch is ignored`() {
        val app = ServiceName("app")
        val newer = RouteUpdate(app, 2, 5, null, RouteChanges(), setOf(GroupId("g")), 1.seconds)
        val state = FleetDecision.announced(FleetState(), newer, Duration.ZERO)
        val older = RouteUpdate(app, 1, 9, null, RouteChanges(), emptySet(), 2.seconds)
        assertEquals(state, FleetDecision.announced(state, older, 1.seconds))
    }

    @Test
    fun `an announcement for one service does not change the groups of another service`() {
        val services = listOf("chat", "search").map(::ServiceName)
        val groups = services.map { ServingGroup(GroupId("m.1-1"), GroupEpoch(1), it, ModelName("m"), id) }
        val state = groups.fold(FleetState()) { state, group ->
            val changes = RouteChanges(groups = listOf(group))
            FleetDecision.announced(
                state,
                RouteUpdate(group.service, 1, 1, null, changes, emptySet(), 9.seconds),
                Duration.ZERO,
            )
        }
        for (group in groups) assertEquals(listOf(group), state.servingGroups(group.service, 2.seconds))
        assertTrue(state.servingGroups(services.first(), 10.seconds).isEmpty(), "the announcement has expired")
    }

    @Test
    fun `changes that an announcement repeats leave the routes as they are`() {
        val app = ServiceName("app")
        val group = ServingGroup(GroupId("m.1-1"), GroupEpoch(1), app, ModelName("m"), id)
        val changes = RouteChanges(groups = listOf(group), removedGroups = setOf(GroupId("m.1-0")))
        val complete = RouteUpdate(app, 1, 1, null, changes, emptySet(), 9.seconds)
        val state = FleetDecision.announced(FleetState(), complete, Duration.ZERO)
        val repeated = RouteUpdate(app, 1, 2, 1, changes, emptySet(), 9.seconds)
        val next = FleetDecision.announced(state, repeated, 1.seconds)
        assertSame(state.announced.getValue(app).routes, next.announced.getValue(app).routes)
        assertEquals(2, next.announced.getValue(app).sequence)
    }

    @Test
    fun `a process that starts is not usable until the routes of every service were announced`() {
        val services = listOf("chat", "search").map(::ServiceName)
        val specs = services.associateWith { ServiceSpec(it, 10, Duration.ZERO, 0.0, null) }
        val configured = FleetConfiguration(ConfigurationVersion(7), emptyList(), specs, limits, emptyList())
        val start = applyAll(
            1.seconds to FleetUpdate.ConfigurationChanged(configured),
            1.seconds to FleetUpdate.Confirmed(UpdateSource.CONFIGURATION, StorePosition.inFirstEra(1)),
            1.seconds to FleetUpdate.Confirmed(UpdateSource.EVACUATIONS, StorePosition.inFirstEra(1)),
        )
        val updates = services.map { RouteUpdate(it, 1, 1, null, RouteChanges(), emptySet(), 9.seconds) }
        val first = FleetDecision.announced(start, updates[0], 1.seconds)
        assertFalse(first.isUsable)
        assertTrue(FleetDecision.announced(first, updates[1], 1.seconds).isUsable)
    }

    @Test
    fun `the view is not usable until configuration, zones and back ends were read once`() {
        val state = applyAll(
            1.seconds to FleetUpdate.ConfigurationChanged(configuration(7)),
            1.seconds to FleetUpdate.Confirmed(UpdateSource.CONFIGURATION, StorePosition.inFirstEra(1)),
            1.seconds to FleetUpdate.Confirmed(UpdateSource.EVACUATIONS, StorePosition.inFirstEra(1)),
        )
        assertFalse(state.isUsable)
        val confirmed = FleetDecision.onUpdate(
            state,
            FleetUpdate.Confirmed(UpdateSource.BACKEND_SERVERS, StorePosition.inFirstEra(1)),
            2.seconds,
        )
        assertTrue(confirmed.isUsable)
    }
}

/**
 * Guards against a watch of the store that silently stops delivering changes, and against restarts of a watch that is
 * not behind, because every read of the store has a cost.
 */
class WatchLagDetectorTest {
    private val source = UpdateSource.EVACUATIONS
    private val lag = WatchLagDetector { 500.milliseconds }

    private fun compare(changed: Long, confirmed: Long, now: Duration) = lag.compare(
        mapOf(source to WatchProgress(changed, changed)),
        mapOf(source to WatchProgress(0, confirmed)),
        now,
    )

    @Test
    fun `a missed configuration is detected although the store's latest revision is confirmed`() {
        val other = mapOf(UpdateSource.CONFIGURATION to WatchProgress(12, 20))
        val own = mapOf(UpdateSource.CONFIGURATION to WatchProgress(9, 20))
        assertEquals(emptyList(), lag.compare(other, own, 1.seconds))
        assertEquals(listOf(UpdateSource.CONFIGURATION), lag.compare(other, own, 1.6.seconds))
    }

    @Test
    fun `a watch that delivers nothing is restarted after other processes have received a change`() {
        assertEquals(emptyList(), compare(changed = 12, confirmed = 9, now = 1.seconds))
        assertEquals(listOf(source), compare(changed = 12, confirmed = 9, now = 1.6.seconds))
    }

    @Test
    fun `a process that catches up in time does not restart its watch`() {
        compare(changed = 12, confirmed = 9, now = 1.seconds)
        assertEquals(emptyList(), compare(changed = 12, confirmed = 12, now = 1.6.seconds))
    }

    @Test
    fun `a process is not behind when only objects of other kinds have changed`() {
        compare(changed = 5, confirmed = 90, now = 1.seconds)
        assertEquals(emptyList(), compare(changed = 5, confirmed = 90, now = 5.seconds))
    }
}
