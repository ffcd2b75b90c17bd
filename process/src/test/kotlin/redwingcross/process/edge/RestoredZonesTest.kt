package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.UpdateSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against evacuated zones that get requests again, and returned ones that lose them, after a restore. */
class RestoredZonesTest {
    private var state = FleetState()
    private val zones get() = state.table.evacuatedZones.map { it.value }.toSet()

    private fun apply(now: Duration, update: FleetUpdate) {
        state = FleetDecision.onUpdate(state, update, now)
    }

    private fun listed(now: Duration, vararg zones: String) =
        apply(now, FleetUpdate.EvacuatedZonesChanged(zones.map(::AvailabilityZone).toSet()))

    private fun changed(now: Duration, zone: String, vararg zones: String) = apply(
        now,
        FleetUpdate.EvacuatedZonesChanged(zones.map(::AvailabilityZone).toSet(), setOf(AvailabilityZone(zone))),
    )

    private fun restored(now: Duration) = apply(now, FleetUpdate.StoreRestored(StoreEra(6)))

    private fun expire(now: Duration) {
        state = FleetDecision.expired(state, now)
    }

    @Test
    fun `an evacuation that the copy lacks holds until it is written again, and its zone is not marked as returned`() {
        listed(1.seconds, "a")
        restored(10.seconds)
        listed(10.1.seconds)
        assertEquals(setOf("a"), zones)
        expire(12.2.seconds)
        changed(12.25.seconds, "a", "a")
        expire(12.4.seconds)
        assertEquals(setOf("a"), zones)
        assertTrue(state.table.returnedZones.isEmpty())
    }

    @Test
    fun `an evacuation that is not written again ends with the grace period`() {
        listed(1.seconds, "a")
        restored(10.seconds)
        listed(10.1.seconds)
        expire(12.2.seconds)
        assertEquals(setOf("a"), zones)
        expire(12.3.seconds)
        assertEquals(emptySet(), zones)
        assertEquals(setOf(AvailabilityZone("a")), state.table.returnedZones.keys)
    }

    @Test
    fun `an evacuation that was taken back does not come back with the copy`() {
        listed(1.seconds)
        restored(10.seconds)
        listed(10.1.seconds, "a")
        assertEquals(emptySet(), zones)
        changed(11.seconds, "a")
        expire(13.seconds)
        assertEquals(emptySet(), zones)
        assertTrue(state.table.returnedZones.isEmpty())
    }

    @Test
    fun `an evacuation of the new era that only the list names applies at the end of the grace period`() {
        restored(10.seconds)
        listed(10.1.seconds, "a")
        expire(10.seconds + 2300.milliseconds)
        assertEquals(setOf("a"), zones)
    }

    @Test
    fun `a change that follows the first list applies at once`() {
        listed(1.seconds, "a", "b")
        restored(10.seconds)
        listed(10.1.seconds, "c")
        changed(10.5.seconds, "d", "c", "d")
        assertEquals(setOf("a", "b", "d"), zones)
        changed(10.6.seconds, "c", "c", "d")
        changed(10.7.seconds, "b", "c", "d")
        assertEquals(setOf("a", "c", "d"), zones)
        listed(10.9.seconds, "c", "d")
        assertEquals(setOf("a", "c", "d"), zones)
    }

    @Test
    fun `the grace period begins anew while the restored store gives no list`() {
        listed(1.seconds, "a")
        restored(10.seconds)
        apply(14.seconds, FleetUpdate.Interrupted(UpdateSource.EVACUATIONS, 503))
        listed(14.1.seconds)
        apply(14.1.seconds, FleetUpdate.Confirmed(UpdateSource.EVACUATIONS, StorePosition.inFirstEra(1)))
        assertEquals(setOf("a"), zones)
        expire(16.4.seconds)
        assertEquals(emptySet(), zones)
    }

    @Test
    fun `a second restore does not take back what is evacuated since the first`() {
        restored(10.seconds)
        listed(10.1.seconds)
        changed(10.5.seconds, "a", "a")
        restored(11.seconds)
        listed(11.1.seconds)
        assertEquals(setOf("a"), zones)
    }

    @Test
    fun `without a restore a list applies at once`() {
        listed(1.seconds, "a")
        listed(2.seconds, "b")
        assertEquals(setOf("b"), zones)
    }
}
