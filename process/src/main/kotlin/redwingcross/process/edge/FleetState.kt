package redwingcross.process.edge

import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.ServiceRoutes
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.fleet.servingGroups
import kotlin.time.Duration

/** The routes of one service, as announced by the active controller. */
data class AnnouncedRoutes(
    val service: ServiceName,
    /** Epoch of the lease under which the controller sent the announcement. */
    val leaseEpoch: Long,
    /** Orders the announcements of one epoch. */
    val sequence: Long,
    /** End of the announcement's validity on the process clock, unless a newer one is received. */
    val validUntil: Duration,
    /** Groups that may get requests, and the back ends that requests are sent to. */
    val routes: ServiceRoutes,
    /** Groups that have lost a member; they get no requests. */
    val lost: Set<GroupId>,
    /** When an announcement last confirmed these routes, on the process clock. */
    val confirmedAt: Duration = Duration.ZERO,
) {
    val serving: List<ServingGroup> get() = routes.serving
}

/** An announcement that was received: changes of the routes, or the complete routes if [base] is null. */
data class RouteUpdate(
    val service: ServiceName,
    val leaseEpoch: Long,
    val sequence: Long,
    val base: Long?,
    val changes: RouteChanges,
    val lost: Set<GroupId>,
    val validUntil: Duration,
    /** The former controller's announcement that [changes] apply to as well. */
    val former: AnnouncementId? = null,
)

/** A process's view of the configuration, the back ends and the groups. Times are readings of the process clock. */
data class FleetState(
    val configuration: FleetConfiguration? = null,
    val table: EngineTable = EngineTable(),
    /** Back ends whose entry is missing but may be written again, with the time at which they are removed. */
    val pendingRemovals: Map<BackendServer, Duration> = emptyMap(),
    val announced: Map<ServiceName, AnnouncedRoutes> = emptyMap(),
    /** When the store stopped answering; null while it answers. */
    val storeLostAt: Duration? = null,
    /** When the store last answered again after an interruption; null if it was never interrupted. */
    val storeRegainedAt: Duration? = null,
    /** When the view of each source was last known to be current; a source that was never read has no entry. */
    val confirmedAt: Map<UpdateSource, Duration> = emptyMap(),
    /** Whether [table] is made of the announced routes; otherwise it is the platform's complete list of back ends. */
    val usesAnnouncedServers: Boolean = true,
    /** Whether the platform's complete list was received since this process last used announced routes instead. */
    val isListComplete: Boolean = false,
    /** Point up to which the changes of the platform's list were received. */
    val listPosition: StorePosition = StorePosition.START,
    /** What is known beyond the store's copy after a restore of the store. */
    val recovery: StoreRecovery = StoreRecovery(),
) {
    /**
     * Groups that this process derives from the list of back ends, without an announcement. Computed on first use,
     * because the list changes far more often than a process is without a valid announcement.
     */
    val derivedGroups: List<ServingGroup> by lazy(LazyThreadSafetyMode.NONE) {
        configuration?.services?.values.orEmpty().flatMap { table.servingGroups(it) }
    }

    /** Whether the back ends of every service are known, from announcements or the platform's list. */
    val knowsAllServices: Boolean
        get() = isListComplete || configuration != null && announced.keys.containsAll(configuration.services.keys)

    /** Whether callers can be served: there is a configuration, and every source was read at least once. */
    val isUsable: Boolean get() = configuration != null && confirmedAt.keys.containsAll(UpdateSource.entries)

    /** Groups of [service] that may get requests: the announced ones if the announcement is valid, else the derived. */
    fun servingGroups(service: ServiceName, now: Duration): List<ServingGroup> {
        val last = announced[service]
        return last?.takeIf { now < it.validUntil }?.serving
            ?: derivedGroups.filter { it.service == service && it.id !in last?.lost.orEmpty() }
    }

    /** The same for a service that the configuration may no longer have. */
    fun servingGroups(service: ServiceSpec, now: Duration): List<ServingGroup> {
        val known = servingGroups(service.name, now)
        if (known.isNotEmpty() || configuration?.services?.get(service.name)?.pool != null) return known
        return table.servingGroups(service).filter { it.id !in announced[service.name]?.lost.orEmpty() }
    }
}

/** Changes of [FleetState] as pure functions of the state, an input and the time. */
object FleetDecision {
    /** Applies an update from the store. */
    fun onUpdate(state: FleetState, update: FleetUpdate, now: Duration): FleetState = when (update) {
        is FleetUpdate.ConfigurationChanged -> configured(state, update.configuration)
        is FleetUpdate.EvacuatedZonesChanged -> RestoreDecision.zonesReceived(state, update, now)
        is FleetUpdate.ServerChanged -> RestoreDecision.entryChanged(state, update.server.id)
            .copy(pendingRemovals = state.pendingRemovals - update.server.id)
            .withTable(state.table.withListed(update.server, now))
        is FleetUpdate.ServerRemoved ->
            removed(RestoreDecision.withdrawn(state, setOf(update.server), now), setOf(update.server), now)
        is FleetUpdate.ServersListed -> listed(state, update, now)
        is FleetUpdate.Confirmed -> confirmed(state, update, now)
        is FleetUpdate.StoreRestored -> RestoreDecision.restored(state, now)
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

    /** Whether [update] can't be applied because earlier changes were missed, so that complete routes are needed. */
    fun isIncomplete(state: FleetState, update: RouteUpdate): Boolean {
        val known = state.announced[update.service]
        if (update.base == null) return false
        return when {
            known == null -> true
            known.leaseEpoch < update.leaseEpoch -> update.former != AnnouncementId(known.leaseEpoch, known.sequence)
            else -> known.isAtEpoch(update) && known.sequence < update.base
        }
    }

    /** Applies an announcement unless a newer one was applied before, or changes before it were missed. */
    fun announced(state: FleetState, update: RouteUpdate, now: Duration): FleetState {
        val known = state.announced[update.service]
        val outdated = known != null &&
            (update.leaseEpoch < known.leaseEpoch || known.isAtEpoch(update) && update.sequence < known.sequence)
        if (outdated || isIncomplete(state, update)) return state
        val start = known?.routes?.takeIf { update.base != null } ?: ServiceRoutes()
        // Announcements repeat the changes of the last seconds, so most of them were applied before.
        val changes = update.changes.without(start)
        val routes = if (changes.isEmpty && update.base != null) start else start.after(changes)
        val next = AnnouncedRoutes(
            update.service,
            update.leaseEpoch,
            update.sequence,
            update.validUntil,
            routes,
            update.lost,
            now,
        )
        val result = state.copy(announced = state.announced + (update.service to next))
        return when {
            !state.usesAnnouncedServers -> result
            update.base == null -> withAnnouncedServers(
                result,
                (known?.routes ?: ServiceRoutes()).changesTo(routes),
                now,
            )
            else -> withAnnouncedServers(result, changes, now)
        }
    }

    private fun AnnouncedRoutes.isAtEpoch(update: RouteUpdate) = leaseEpoch == update.leaseEpoch

    /** Applies changes of the announced back ends to the table. */
    private fun withAnnouncedServers(state: FleetState, changes: RouteChanges, now: Duration): FleetState {
        val isConfirmed = UpdateSource.BACKEND_SERVERS in state.confirmedAt || state.knowsAllServices
        val confirmed =
            if (isConfirmed) {
                state.copy(confirmedAt = state.confirmedAt + (UpdateSource.BACKEND_SERVERS to now))
            } else {
                state
            }
        if (changes.servers.isEmpty() && changes.removedServers.isEmpty()) return confirmed
        val removed = without(confirmed, changes.removedServers, now)
        return changes.servers.fold(removed) { next, server ->
            RestoreDecision.entryChanged(next, server.status.id).withTable(next.table.withRouted(server, now))
        }
    }

    /**
     * Uses the announced routes in place of the platform's list: the table then contains only the back ends that get
     * requests, and following them costs no calls to the store.
     */
    fun announcedServersUsed(state: FleetState, now: Duration): FleetState {
        val draining = state.table.engines.values.filter { it.status.draining }.map { it.id }
        val start = RestoreDecision.listDiscarded(RestoreDecision.withdrawn(state, draining, now)).copy(
            table = state.table.copy(engines = persistentHashMapOf()),
            pendingRemovals = emptyMap(),
            usesAnnouncedServers = true,
            isListComplete = false,
        )
        return state.announced.values.fold(start) { next, announced ->
            withAnnouncedServers(next, ServiceRoutes().changesTo(announced.routes), now)
        }
    }

    /** Uses the platform's list again; the announced back ends stay until the list is received. */
    fun listedServersUsed(state: FleetState): FleetState = state.copy(usesAnnouncedServers = false)

    /** Applies what is due at [now]: the end of the grace periods after an outage or a restore of the store. */
    fun expired(state: FleetState, now: Duration): FleetState = removalsDue(RestoreDecision.ended(state, now), now)

    /** Removes back ends whose entries were not written again within the grace period. */
    private fun removalsDue(state: FleetState, now: Duration): FleetState {
        if (state.storeLostAt != null) return state
        val due = state.pendingRemovals.filterValues { now >= it }.keys
        if (due.isEmpty()) return state
        return without(state.copy(pendingRemovals = state.pendingRemovals - due), due, now)
    }

    private fun without(state: FleetState, servers: Collection<BackendServer>, now: Duration): FleetState =
        RestoreDecision.withdrawn(state, servers, now)
            .withTable(servers.fold(state.table) { table, id -> table.without(id) })

    /** Ignores a configuration that is older than the current one. */
    private fun configured(state: FleetState, next: FleetConfiguration): FleetState {
        val current = state.configuration
        if (current != null && next.version < current.version) return state
        return state.copy(configuration = next)
    }

    private fun listed(state: FleetState, update: FleetUpdate.ServersListed, now: Duration): FleetState {
        val listed = update.servers.mapTo(mutableSetOf()) { it.id }
        val next = RestoreDecision.serversListed(state, update.servers, now).copy(isListComplete = true)
        return removed(next, state.table.engines.keys - listed, now)
    }

    /**
     * Removes back ends whose entries are missing. Entries that expired while the store was unavailable, or that its
     * copy lacks after a restore, are written again shortly after it recovers, so removal is delayed until the end of a
     * grace period in that case.
     */
    private fun removed(state: FleetState, servers: Set<BackendServer>, now: Duration): FleetState {
        if (servers.isEmpty()) return state
        val recoveredAt = if (state.storeLostAt != null) {
            now
        } else {
            listOfNotNull(state.storeRegainedAt, state.recovery.entries?.since).maxOrNull()
        }
        val graceEnd = recoveredAt?.plus(RestoreDecision.STORE_RECOVERY_GRACE)
        if (graceEnd == null || now >= graceEnd) {
            return without(state.copy(pendingRemovals = state.pendingRemovals - servers), servers, now)
        }
        return state.copy(pendingRemovals = servers.associateWith { graceEnd } + state.pendingRemovals)
    }

    private fun confirmed(state: FleetState, update: FleetUpdate.Confirmed, now: Duration): FleetState {
        val isRegained = state.storeLostAt != null
        val isList = update.source == UpdateSource.BACKEND_SERVERS
        val current = if (isRegained) RestoreDecision.regained(state, now) else state
        return current.copy(
            confirmedAt = state.confirmedAt + (update.source to now),
            listPosition = if (isList) update.position else state.listPosition,
            storeLostAt = null,
            storeRegainedAt = if (isRegained) now else state.storeRegainedAt,
        )
    }

    private fun FleetState.withTable(next: EngineTable): FleetState = copy(table = next)
}
