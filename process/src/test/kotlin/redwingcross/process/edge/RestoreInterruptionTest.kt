package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import redwingcross.version.fleet.UpdateSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a restored copy that applies because the store was lost again for the time to write it anew. */
class RestoreInterruptionTest {
    private val zone = AvailabilityZone("a")
    private val id = BackendServer("e1")
    private val ready = EngineStatus(
        id, ServiceName("app"), Endpoint("10.0.0.1:80"), zone, 6, false,
        Duration.ZERO, EngineStart(100), null, emptyList(), null,
    )
    private var state = FleetDecision.listedServersUsed(FleetState())
    private val known get() = state.table.engines[id]
    private val zones get() = state.table.evacuatedZones

    private fun apply(now: Duration, vararg updates: FleetUpdate) {
        for (update in updates) state = FleetDecision.onUpdate(state, update, now)
    }

    private fun listed(vararg servers: EngineStatus) = FleetUpdate.ServersListed(servers.toList())

    private fun evacuated(zones: Set<AvailabilityZone> = emptySet()) = FleetUpdate.EvacuatedZonesChanged(zones)

    private val restored = FleetUpdate.StoreRestored(StoreEra(1))
    private val interrupted = FleetUpdate.Interrupted(UpdateSource.BACKEND_SERVERS, null)
    private val confirmed =
        FleetUpdate.Confirmed(UpdateSource.BACKEND_SERVERS, StorePosition(StoreEra(1), StoreRevision(7)))

    private fun expire(now: Duration) {
        state = FleetDecision.expired(state, now)
    }

    @Test
    fun `an evacuated zone stays out while the store is lost after the restore, and for the grace time after that`() {
        apply(1.seconds, evacuated(setOf(zone)))
        apply(10.seconds, restored)
        apply(10.1.seconds, evacuated(), confirmed)
        apply(10.5.seconds, interrupted)
        expire(12.5.seconds)
        apply(12.6.seconds, evacuated())
        apply(20.seconds, confirmed)
        expire(22.2.seconds)
        assertEquals(setOf(zone), zones)
        expire(22.3.seconds)
        assertEquals(emptySet(), zones)
    }

    @Test
    fun `an engine that the copy lacks is kept while the store is lost, and for the grace time after that`() {
        apply(1.seconds, listed(ready))
        apply(10.seconds, restored)
        apply(10.1.seconds, listed(), confirmed)
        apply(10.5.seconds, interrupted)
        expire(12.5.seconds)
        apply(20.seconds, confirmed)
        expire(22.2.seconds)
        assertNotNull(known)
        expire(22.3.seconds)
        assertNull(known)
    }

    @Test
    fun `an engine drains on while the store is lost, and for the time of the copy after that`() {
        apply(1.seconds, listed(ready))
        apply(2.seconds, FleetUpdate.ServerChanged(ready.copy(draining = true)))
        apply(10.seconds, restored)
        apply(10.1.seconds, listed(ready), confirmed)
        apply(10.5.seconds, interrupted)
        expire(14.5.seconds)
        apply(20.seconds, confirmed)
        expire(24.1.seconds)
        assertEquals(true, known?.status?.draining)
        expire(24.2.seconds)
        assertEquals(false, known?.status?.draining)
    }

    @Test
    fun `a removed engine stays out while the store is lost, and for the time of the copy after that`() {
        apply(1.seconds, listed(ready))
        apply(2.seconds, FleetUpdate.ServerRemoved(id))
        apply(10.seconds, restored)
        apply(10.1.seconds, listed(ready), confirmed)
        apply(10.5.seconds, interrupted)
        expire(14.5.seconds)
        // Longer than the age of a copy, which counts from the restore and not from the return of the store.
        apply(50.seconds, confirmed, listed(ready))
        expire(54.1.seconds)
        assertNull(known)
        expire(54.2.seconds)
        assertNotNull(known)
    }

    @Test
    fun `a second restore extends the removals that are pending since the first`() {
        apply(1.seconds, listed(ready))
        apply(10.seconds, restored, listed())
        apply(12.seconds, restored)
        expire(14.2.seconds)
        assertNotNull(known)
        expire(14.3.seconds)
        assertNull(known)
    }
}
