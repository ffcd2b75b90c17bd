package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.fleet.servingGroups
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The groups of one service, as announced by the active controller. */
data class AnnouncedGroups(
    val service: ServiceName,
    /** Epoch of the lease under which the controller sent the announcement. */
    val leaseEpoch: Long,
    /** Orders the announcements of one epoch. */
    val sequence: Long,
    /** End of the announcement's validity on the process clock, unless a newer one is received. */
    val validUntil: Duration,
    /** Groups that may get requests. */
    val serving: List<ServingGroup>,
    /** Groups that have lost a member; they get no requests. */
    val lost: Set<GroupId>,
)

/** A process's view of the configuration, the back ends and the groups. Times are readings of the process clock. */
data class FleetState(
    val configuration: FleetConfiguration? = null,
    val table: EngineTable = EngineTable(),
    /** Back ends whose entry is missing but may be written again, with the time at which they are removed. */
    val pendingRemovals: Map<BackendServer, Duration> = emptyMap(),
    val announced: Map<ServiceName, AnnouncedGroups> = emptyMap(),
    /** When the store stopped answering; null while it answers. */
    val storeLostAt: Duration? = null,
    /** When the store last answered again after an interruption; null if it was never interrupted. */
    val storeRegainedAt: Duration? = null,
    /** When the view of each source was last known to be current; a source that was never read has no entry. */
    val confirmedAt: Map<UpdateSource, Duration> = emptyMap(),
    /** Groups that this process derives from the list of back ends, without an announcement. */
    val derivedGroups: List<ServingGroup> = emptyList(),
) {
    /** Whether callers can be served: there is a configuration, and every source was read at least once. */
    val isUsable: Boolean get() = configuration != null && confirmedAt.keys.containsAll(UpdateSource.entries)

    /** Groups of [service] that may get requests: the announced ones if the announcement is valid, else the derived. */
    fun servingGroups(service: ServiceName, now: Duration): List<ServingGroup> {
        val last = announced[service]
        return last?.takeIf { now < it.validUntil }?.serving
            ?: derivedGroups.filter { it.service == service && it.id !in last?.lost.orEmpty() }
    }
}

/** Changes of [FleetState] as pure functions of the state, an input and the time. */
object FleetDecision {
    /** Applies an update from the store. */
    fun onUpdate(state: FleetState, update: FleetUpdate, now: Duration): FleetState = when (update) {
        is FleetUpdate.ConfigurationChanged -> configured(state, update.configuration)
        is FleetUpdate.EvacuatedZonesChanged ->
            state.withTable(state.table.withEvacuatedZones(update.zones, now, coldTimeAfterEvacuation(state)))
        is FleetUpdate.ServerChanged -> state.copy(pendingRemovals = state.pendingRemovals - update.server.id)
            .withTable(state.table.withListed(update.server, now))
        is FleetUpdate.ServerRemoved -> removed(state, setOf(update.server), now)
        is FleetUpdate.ServersListed -> listed(state, update, now)
        is FleetUpdate.Confirmed -> confirmed(state, update.source, now)
        is FleetUpdate.Interrupted -> state.copy(storeLostAt = state.storeLostAt ?: now)
    }

    /** Applies a report that [engine] sent about itself. */
    fun reported(state: FleetState, engine: BackendServer, report: EngineReport, now: Duration): FleetState =
        state.withTable(state.table.withReport(engine, report, now))

    /** Applies a back end's report that it stays cold for the [remaining] time. */
    fun coldReported(state: FleetState, server: BackendServer, remaining: Duration, now: Duration): FleetState =
        state.copy(table = state.table.withColdRemaining(server, remaining, now))

    /** Records that [engine] left its group and has accepted [orders] orders. */
    fun left(state: FleetState, engine: BackendServer, orders: OrderCount, now: Duration): FleetState =
        state.withTable(state.table.withoutMembership(engine, orders, now))

    /** Discards the reports of engines, which become outdated when this process no longer requests them. */
    fun reportsDiscarded(state: FleetState): FleetState = state.copy(table = state.table.withoutReports())

    /** Applies an announcement unless one that is as new or newer was applied before. */
    fun announced(state: FleetState, groups: AnnouncedGroups): FleetState {
        val known = state.announced[groups.service]
        val outdated = known != null &&
            (
                groups.leaseEpoch < known.leaseEpoch ||
                    (groups.leaseEpoch == known.leaseEpoch && groups.sequence <= known.sequence)
                )
        return if (outdated) state else state.copy(announced = state.announced + (groups.service to groups))
    }

    /** Removes back ends whose entries were not written again within the grace period. */
    fun expired(state: FleetState, now: Duration): FleetState {
        val due = state.pendingRemovals.filterValues { now >= it }.keys
        if (due.isEmpty()) return state
        val table = due.fold(state.table) { table, id -> table.without(id) }
        return state.copy(pendingRemovals = state.pendingRemovals - due).withTable(table)
    }

    /** Ignores a configuration that is older than the current one. */
    private fun configured(state: FleetState, next: FleetConfiguration): FleetState {
        val current = state.configuration
        if (current != null && next.version < current.version) return state
        return state.copy(configuration = next).withDerivedGroups()
    }

    private fun listed(state: FleetState, update: FleetUpdate.ServersListed, now: Duration): FleetState {
        val listed = update.servers.mapTo(mutableSetOf()) { it.id }
        val table = update.servers.fold(state.table) { table, server -> table.withListed(server, now) }
        val next = state.copy(pendingRemovals = state.pendingRemovals - listed).withTable(table)
        return removed(next, state.table.engines.keys - listed, now)
    }

    /**
     * Removes back ends whose entries are missing. Entries that expired while the store was unavailable are written
     * again shortly after it recovers, so removal is delayed until the end of a grace period in that case.
     */
    private fun removed(state: FleetState, servers: Set<BackendServer>, now: Duration): FleetState {
        if (servers.isEmpty()) return state
        val graceEnd = state.storeRegainedAt?.plus(STORE_RECOVERY_GRACE)
        val isInGracePeriod = state.storeLostAt != null || (graceEnd != null && now < graceEnd)
        if (!isInGracePeriod) {
            val table = servers.fold(state.table) { table, id -> table.without(id) }
            return state.copy(pendingRemovals = state.pendingRemovals - servers).withTable(table)
        }
        val due = graceEnd ?: (now + STORE_RECOVERY_GRACE)
        return state.copy(pendingRemovals = servers.associateWith { due } + state.pendingRemovals)
    }

    private fun confirmed(state: FleetState, source: UpdateSource, now: Duration): FleetState {
        val regained = if (state.storeLostAt != null) now else state.storeRegainedAt
        return state.copy(
            confirmedAt = state.confirmedAt + (source to now),
            storeLostAt = null,
            storeRegainedAt = regained,
        )
    }

    private fun coldTimeAfterEvacuation(state: FleetState): Duration =
        state.configuration?.services?.values?.maxOfOrNull { it.coldDuration } ?: Duration.ZERO

    private fun FleetState.withTable(next: EngineTable): FleetState = copy(table = next).withDerivedGroups()

    private fun FleetState.withDerivedGroups(): FleetState {
        val services = configuration?.services?.values ?: return this
        return copy(derivedGroups = services.flatMap { table.servingGroups(it) })
    }

    /** Entries are written again within about two seconds after the store recovers. */
    private val STORE_RECOVERY_GRACE = 2300.milliseconds
}
