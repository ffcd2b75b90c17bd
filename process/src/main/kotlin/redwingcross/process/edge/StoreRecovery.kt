package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetUpdate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Zones after a restore. The copy may lack an evacuation, or contain one that was already taken back; operators write
 * them again within about two seconds.
 */
data class ZoneRecovery(
    /** When the store was restored, or last answered again after an interruption since then. */
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

/** Back ends after a restore, until their entries have changed or the time for it is over. */
data class EntryRecovery(
    /** When the store was restored; the age of its copy counts from here. */
    val restoredAt: Duration,
    /** When the store was restored, or last answered again after an interruption since then. */
    val since: Duration = restoredAt,
    /** Entries that were only listed and say nothing newer than what is known; the copy may be older. */
    val copied: Map<BackendServer, EngineStatus> = emptyMap(),
)

/** A back end that was removed or no longer gets requests, and its last known start. */
data class RecentRemoval(val at: Duration, val start: EngineStart?)

/** What is known beyond the store's copy after a restore. Times are readings of the process clock. */
data class StoreRecovery(
    /** Back ends that were removed within the age of a copy; a restore may list them again. */
    val removals: Map<BackendServer, RecentRemoval> = emptyMap(),
    /** Null once the store's state applies. */
    val entries: EntryRecovery? = null,
    /** Null once the store's state applies. */
    val zones: ZoneRecovery? = null,
)

/** Decides after a restore of the store which of its statements are news, and which are a copy of the past. */
internal object RestoreDecision {
    /** Records the restore: everything that is known now is newer than the first lists of the new era. */
    fun restored(state: FleetState, now: Duration): FleetState = withLaterRemovals(state, now).copy(
        recovery = state.recovery.copy(
            zones = ZoneRecovery(now, state.table.evacuatedZones),
            entries = EntryRecovery(now),
        ),
    )

    /** Nothing could be written again while the store did not answer, so the grace periods begin anew. */
    fun regained(state: FleetState, now: Duration): FleetState {
        val (removals, entries, zones) = state.recovery
        val recovery = StoreRecovery(removals, entries?.copy(since = now), zones?.copy(since = now))
        return withLaterRemovals(state, now).copy(recovery = recovery)
    }

    private fun withLaterRemovals(state: FleetState, now: Duration): FleetState {
        val graceEnd = now + STORE_RECOVERY_GRACE
        return state.copy(pendingRemovals = state.pendingRemovals.mapValues { (_, end) -> maxOf(end, graceEnd) })
    }

    /** Applies the zones that the store states; in the grace period after a restore only those that changed in it. */
    fun zonesReceived(state: FleetState, update: FleetUpdate.EvacuatedZonesChanged, now: Duration): FleetState {
        val zones = state.recovery.zones ?: return state.withZones(update.zones, now)
        val next = zones.copy(changed = zones.changed + update.changed.orEmpty(), stored = update.zones)
        return zonesEnded(state.copy(recovery = state.recovery.copy(zones = next)).withZones(next.effective, now), now)
    }

    /**
     * Applies a list of back ends. After a restore, it is a copy of the past: an engine that is known keeps its state,
     * and one that was removed stays removed, until its entry changes or states a later start.
     */
    fun serversListed(state: FleetState, servers: List<EngineStatus>, now: Duration): FleetState {
        val entries = state.recovery.entries
        val removed = if (entries == null) emptyList() else servers.filter { wasRemoved(state, entries, it) }
        val present = servers - removed.toSet()
        val copied = if (entries == null) emptyList() else present.filter { isCopyOfKnown(state.table, it) } + removed
        val table = present.fold(state.table) { table, server ->
            if (entries == null) table.withListed(server, now) else table.withCopied(server, now)
        }
        val presentIds = present.mapTo(mutableSetOf()) { it.id }
        val recovery = state.recovery.copy(
            removals = state.recovery.removals - presentIds,
            entries = entries?.copy(copied = copied.associateBy { it.id }),
        )
        return state.copy(
            table = table,
            pendingRemovals = state.pendingRemovals - presentIds,
            recovery = recovery,
        )
    }

    private fun wasRemoved(state: FleetState, entries: EntryRecovery, server: EngineStatus): Boolean {
        val removal = state.recovery.removals[server.id] ?: return false
        return removal.at >= entries.restoredAt - MAXIMUM_COPY_AGE && server.start?.isAfter(removal.start) != true
    }

    private fun isCopyOfKnown(table: EngineTable, server: EngineStatus): Boolean {
        val known = table.engines[server.id] ?: return false
        return server.start?.isAfter(known.status.start) != true
    }

    /** Records that the entry of [server] changed, so that what was listed before no longer counts. */
    fun entryChanged(state: FleetState, server: BackendServer): FleetState {
        val recovery = state.recovery
        val copied = recovery.entries?.copied.orEmpty()
        if (server !in copied && server !in recovery.removals) return state
        val entries = recovery.entries?.copy(copied = copied - server)
        return state.copy(recovery = recovery.copy(removals = recovery.removals - server, entries = entries))
    }

    /** Forgets what was listed, because the view is no longer made of the platform's list. */
    fun listDiscarded(state: FleetState): FleetState {
        val entries = state.recovery.entries?.copy(copied = emptyMap())
        return state.copy(recovery = state.recovery.copy(entries = entries))
    }

    /** Records that [servers] get no more requests, so that a restore within the age of a copy does not return them. */
    fun withdrawn(state: FleetState, servers: Collection<BackendServer>, now: Duration): FleetState {
        if (servers.isEmpty()) return state
        val recovery = state.recovery
        val oldest = (recovery.entries?.restoredAt ?: now) - MAXIMUM_COPY_AGE - LISTED_COPY_TIME
        val added = servers.associateWith {
            RecentRemoval(now, state.table.engines[it]?.status?.start ?: recovery.removals[it]?.start)
        }
        // The map keeps the order of the removals, so that the oldest ones are dropped first.
        val removals = (recovery.removals - added.keys).filterValues { it.at >= oldest } + added
        val excess = (removals.size - MAXIMUM_REMEMBERED_REMOVALS).coerceAtLeast(0)
        val kept = if (excess == 0) removals else removals.entries.drop(excess).associate { it.toPair() }
        val entries = recovery.entries?.let { it.copy(copied = it.copied - added.keys) }
        return state.copy(recovery = recovery.copy(removals = kept, entries = entries))
    }

    /** Applies the state of the store at the end of the grace periods, which do not end while it does not answer. */
    fun ended(state: FleetState, now: Duration): FleetState = entriesEnded(zonesEnded(state, now), now)

    private fun entriesEnded(state: FleetState, now: Duration): FleetState {
        val entries = state.recovery.entries ?: return state
        if (state.storeLostAt != null || now < entries.since + LISTED_COPY_TIME) return state
        val table = entries.copied.values.fold(state.table) { table, server -> table.withListed(server, now) }
        val removals = state.recovery.removals - entries.copied.keys
        return state.copy(table = table, recovery = state.recovery.copy(removals = removals, entries = null))
    }

    private fun zonesEnded(state: FleetState, now: Duration): FleetState {
        val zones = state.recovery.zones ?: return state
        if (state.storeLostAt != null || now < zones.since + STORE_RECOVERY_GRACE) return state
        val stored = zones.stored ?: return state
        return state.copy(recovery = state.recovery.copy(zones = null)).withZones(stored, now)
    }

    private fun FleetState.withZones(zones: Set<AvailabilityZone>, now: Duration): FleetState {
        if (zones == table.evacuatedZones) return this
        val coldDuration = configuration?.services?.values?.maxOfOrNull { it.coldDuration } ?: Duration.ZERO
        return copy(table = table.withEvacuatedZones(zones, now, coldDuration))
    }

    /** What operators and engines wrote is written again within about two seconds after the store recovers. */
    val STORE_RECOVERY_GRACE = 2300.milliseconds

    /**
     * Time after a restore in which an entry that was listed but has not changed since then counts as a copy of the
     * past: three of the intervals of 1.2 s at which a live engine writes its entry, and 0.6 s for the watch.
     */
    val LISTED_COPY_TIME = 4200.milliseconds

    /** Several times the age of the copies that a store was seen to be restored from (9 s). */
    val MAXIMUM_COPY_AGE = 30.seconds

    /** Limits the memory after the loss of many engines; those that were removed first are forgotten first. */
    const val MAXIMUM_REMEMBERED_REMOVALS = 4096
}
