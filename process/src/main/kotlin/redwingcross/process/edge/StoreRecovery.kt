package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.UpdateSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Zones after a restore. The copy may lack an evacuation, or contain one that was already taken back; operators write
 * them again within about two seconds.
 */
data class ZoneRecovery(
    /** When the store was restored, or did not answer before its first list of the new era. */
    val since: Duration,
    /** Zones that were evacuated when the store was restored. */
    val before: Set<AvailabilityZone>,
    /** Zones whose entry changed since the first list of the new era, so that the store's state applies. */
    val changed: Set<AvailabilityZone> = emptySet(),
    /** Zones that are evacuated according to the store; null before the first list of the new era. */
    val stored: Set<AvailabilityZone>? = null,
) {
    /** Zones that count as evacuated until the end of the grace period. */
    val effective: Set<AvailabilityZone>
        get() = (before - changed) + stored.orEmpty().filter { it in changed }
}

/** What is known beyond the store's copy after a restore. Times are readings of the process clock. */
data class StoreRecovery(
    /** Null once the store's state applies. */
    val zones: ZoneRecovery? = null,
)

/** Decides after a restore of the store which of its statements are news, and which are a copy of the past. */
internal object RestoreDecision {
    /** Records the restore: everything that is known now is newer than the first lists of the new era. */
    fun restored(state: FleetState, now: Duration): FleetState = state.copy(
        recovery = state.recovery.copy(zones = ZoneRecovery(now, state.table.evacuatedZones)),
    )

    /** Nothing can be written again while the store does not answer, so the grace period begins anew. */
    fun interrupted(state: FleetState, source: UpdateSource, now: Duration): FleetState {
        val zones = state.recovery.zones?.takeIf { source == UpdateSource.EVACUATIONS && it.stored == null }
            ?: return state
        return state.copy(recovery = state.recovery.copy(zones = zones.copy(since = now)))
    }

    /** Applies the zones that the store states; in the grace period after a restore only those that changed in it. */
    fun zonesReceived(state: FleetState, update: FleetUpdate.EvacuatedZonesChanged, now: Duration): FleetState {
        val zones = state.recovery.zones ?: return state.withZones(update.zones, now)
        val next = zones.copy(changed = zones.changed + update.changed.orEmpty(), stored = update.zones)
        return ended(state.copy(recovery = state.recovery.copy(zones = next)).withZones(next.effective, now), now)
    }

    /** Applies the state of the store at the end of the grace period. */
    fun ended(state: FleetState, now: Duration): FleetState {
        val zones = state.recovery.zones ?: return state
        if (zones.stored == null || now < zones.since + STORE_RECOVERY_GRACE) return state
        return state.copy(recovery = state.recovery.copy(zones = null)).withZones(zones.stored, now)
    }

    private fun FleetState.withZones(zones: Set<AvailabilityZone>, now: Duration): FleetState {
        if (zones == table.evacuatedZones) return this
        val coldDuration = configuration?.services?.values?.maxOfOrNull { it.coldDuration } ?: Duration.ZERO
        return copy(table = table.withEvacuatedZones(zones, now, coldDuration))
    }

    /** What operators and engines wrote is written again within about two seconds after the store recovers. */
    val STORE_RECOVERY_GRACE = 2300.milliseconds
}
