package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupMembership
import redwingcross.version.fleet.MemberPhase
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.RoutedServer
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.UpdateSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against engines that get requests again, or lose their group, because a restored store lists their past. */
class RestoredEntriesTest {
    private val app = ServiceName("app")
    private val id = BackendServer("e1")
    private val membership = GroupMembership(GroupId("m.1-1"), GroupEpoch(3), 0, MemberPhase.OPEN)
    private val ready = EngineStatus(
        id, app, Endpoint("10.0.0.1:80"), AvailabilityZone("a"), 6, false,
        Duration.ZERO, EngineStart(100), null, emptyList(), null,
    )
    private val draining = ready.copy(draining = true)
    private var state = FleetDecision.listedServersUsed(FleetState())
    private val known get() = state.table.engines[id]

    private fun apply(now: Duration, vararg updates: FleetUpdate) {
        for (update in updates) state = FleetDecision.onUpdate(state, update, now)
    }

    private fun listed(vararg servers: EngineStatus) = FleetUpdate.ServersListed(servers.toList())

    private fun changed(server: EngineStatus) = FleetUpdate.ServerChanged(server)

    private val removed = FleetUpdate.ServerRemoved(id)
    private val restored = FleetUpdate.StoreRestored(StoreEra(6))

    private fun expire(now: Duration) {
        state = FleetDecision.expired(state, now)
    }

    private fun assertDraining(expected: Boolean) = assertEquals(expected, assertNotNull(known).status.draining)

    @Test
    fun `an engine that drains gets no requests when the copy lists it as ready`() {
        apply(1.seconds, listed(ready), changed(draining))
        apply(2.seconds, restored, listed(ready))
        assertDraining(true)
        expire(5.seconds)
        apply(5.seconds, listed(ready))
        assertDraining(true)
        apply(5.5.seconds, changed(ready))
        assertDraining(false)
    }

    @Test
    fun `a removed engine gets no requests when the copy lists it as ready`() {
        apply(1.seconds, listed(ready))
        apply(5.seconds, removed)
        apply(10.seconds, restored, listed(ready))
        assertNull(known)
        apply(11.seconds, listed(ready))
        assertNull(known)
        apply(11.2.seconds, changed(ready))
        assertNotNull(known)
    }

    @Test
    fun `an engine that started again is taken from the list at once`() {
        val again = ready.copy(start = EngineStart(200))
        apply(1.seconds, listed(draining))
        apply(2.seconds, restored, listed(again))
        assertDraining(false)
        apply(3.seconds, removed)
        expire(7.seconds)
        assertNull(known)
        apply(8.seconds, restored, listed(again.copy(start = EngineStart(300))))
        assertNotNull(known)
    }

    @Test
    fun `the list applies in the end to an entry that nobody writes again`() {
        val other = ready.copy(id = BackendServer("e2"))
        apply(1.seconds, listed(draining, other))
        apply(1.5.seconds, FleetUpdate.ServerRemoved(other.id))
        apply(2.seconds, restored, listed(ready, other))
        expire(6.seconds)
        assertDraining(true)
        expire(6.3.seconds)
        assertDraining(false)
        assertTrue(other.id in state.table.engines)
    }

    @Test
    fun `an engine that drains in the list of the new era gets no requests`() {
        apply(1.seconds, listed(ready))
        apply(2.seconds, restored, listed(draining))
        assertDraining(true)
    }

    @Test
    fun `a copy from before an engine's start does not take its start back`() {
        apply(1.seconds, listed(ready))
        apply(2.seconds, restored, listed(draining.copy(start = EngineStart(50))))
        assertEquals(ready, known?.status)
    }

    @Test
    fun `a restored list does not undo a group that was reported or listed`() {
        val member = ready.copy(membership = membership)
        apply(1.seconds, listed(member))
        apply(2.seconds, restored, listed(ready))
        assertEquals(membership, known?.status?.membership)
        val report = EngineReport(ready.start, OrderCount(4), null, membership.copy(epoch = GroupEpoch(4)))
        state = FleetDecision.reported(state, id, report, 3.seconds)
        apply(3.5.seconds, restored, listed(member))
        assertEquals(report.membership, known?.status?.membership)
        assertFalse(assertNotNull(known).conflictsWithListing)
        expire(9.seconds)
        assertEquals(report.membership, known?.status?.membership)
    }

    @Test
    fun `an engine that a controller withdrew stays out of the list of the next controller`() {
        state = FleetState()
        val routed = RouteChanges(servers = listOf(RoutedServer(ready, Duration.ZERO)))
        val announce = { sequence: Long, changes: RouteChanges ->
            val update = RouteUpdate(app, 1, sequence, if (sequence == 1L) null else 1, changes, emptySet(), 9.seconds)
            state = FleetDecision.announced(state, update, sequence.seconds)
        }
        announce(1, routed)
        announce(2, RouteChanges(removedServers = setOf(id)))
        state = FleetDecision.listedServersUsed(state)
        apply(4.seconds, restored, listed(ready))
        assertNull(known)
    }

    @Test
    fun `an engine that drained before the view was made of announced routes is not listed as ready`() {
        apply(1.seconds, listed(draining))
        state = FleetDecision.listedServersUsed(FleetDecision.announcedServersUsed(state, 2.seconds))
        apply(4.seconds, restored, listed(ready))
        assertNull(known)
    }

    @Test
    fun `an engine that the copy lacks gets requests until its entry is written again`() {
        apply(1.seconds, listed(ready))
        apply(10.seconds, restored, listed())
        expire(12.2.seconds)
        assertNotNull(known)
        apply(12.25.seconds, changed(ready))
        expire(15.seconds)
        assertNotNull(known)
    }

    @Test
    fun `an engine that the copy lacks and that is not written again is removed`() {
        apply(1.seconds, listed(ready))
        apply(10.seconds, restored, listed())
        expire(12.3.seconds)
        assertNull(known)
    }

    @Test
    fun `a list that comes late because the restored store did not answer is a copy as well`() {
        apply(1.seconds, listed(draining))
        apply(2.seconds, restored)
        apply(6.seconds, FleetUpdate.Interrupted(UpdateSource.BACKEND_SERVERS, 503))
        expire(6.5.seconds)
        apply(7.seconds, listed(ready))
        assertDraining(true)
    }

    @Test
    fun `a list long after the restore, or a removal older than any copy, is no reason to hold an engine back`() {
        apply(1.seconds, listed(ready), removed)
        apply(40.seconds, restored, listed(ready))
        assertNotNull(known)
        expire(50.seconds)
        apply(51.seconds, changed(draining), listed(ready))
        assertDraining(false)
    }
}
