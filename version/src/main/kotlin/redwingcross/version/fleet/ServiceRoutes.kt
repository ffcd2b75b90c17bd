package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A back end that gateways send requests to, and the time until which it counts as cold on the process clock. */
data class RoutedServer(val status: EngineStatus, val coldUntil: Duration)

/**
 * What a gateway has to know of one service: its serving groups and the back ends that get requests. For a model
 * service these are the heads of the groups, which are few compared with its engines.
 */
data class ServiceRoutes(
    val groups: Map<GroupId, ServingGroup> = emptyMap(),
    val servers: Map<BackendServer, RoutedServer> = emptyMap(),
) {
    val serving: List<ServingGroup> by lazy(LazyThreadSafetyMode.NONE) { groups.values.toList() }

    /** The changes that lead from these routes to [next]. */
    fun changesTo(next: ServiceRoutes): RouteChanges = RouteChanges(
        groups = next.groups.values.filter { groups[it.id] != it },
        removedGroups = groups.keys - next.groups.keys,
        servers = next.servers.values.filter { servers[it.status.id] != it },
        removedServers = servers.keys - next.servers.keys,
    )

    /** These routes after [changes]. Changes that were applied before have no further effect. */
    fun after(changes: RouteChanges): ServiceRoutes = ServiceRoutes(
        groups - changes.removedGroups + changes.groups.associateBy { it.id },
        servers - changes.removedServers + changes.servers.associateBy { it.status.id },
    )

    companion object {
        /** Routes of [service] with the [serving] groups, for a process that knows all back ends in [table]. */
        fun of(
            service: ServiceSpec,
            serving: List<ServingGroup>,
            table: EngineTable,
            previous: ServiceRoutes,
            now: Duration,
        ): ServiceRoutes {
            val engines = if (service.pool == null) {
                table.engines.values.filter { it.status.service == service.name }
            } else {
                serving.mapNotNull { table.engines[it.head] }
            }
            return ServiceRoutes(
                serving.associateBy { it.id },
                engines.associate { it.id to routed(it, previous.servers[it.id], now) },
            )
        }

        /** Keeps [previous] if nothing has changed, because the cold time is measured anew with each report. */
        private fun routed(engine: TrackedEngine, previous: RoutedServer?, now: Duration): RoutedServer {
            val status = engine.status.copy(coldRemaining = Duration.ZERO, staged = emptyList(), membership = null)
            val coldTimeChanged = previous == null ||
                maxOf(engine.coldUntil, now) - maxOf(previous.coldUntil, now) !in
                -COLD_TIME_TOLERANCE..COLD_TIME_TOLERANCE
            return if (previous != null && previous.status == status && !coldTimeChanged) {
                previous
            } else {
                RoutedServer(status, engine.coldUntil)
            }
        }

        /** Differences between two statements of the same cold time, which are measured at different moments. */
        private val COLD_TIME_TOLERANCE = 300.milliseconds
    }
}

/** Changes of [ServiceRoutes]: new or changed entries, and the names of those that are gone. */
data class RouteChanges(
    val groups: List<ServingGroup> = emptyList(),
    val removedGroups: Set<GroupId> = emptySet(),
    val servers: List<RoutedServer> = emptyList(),
    val removedServers: Set<BackendServer> = emptySet(),
) {
    val isEmpty: Boolean
        get() = groups.isEmpty() && removedGroups.isEmpty() && servers.isEmpty() && removedServers.isEmpty()

    /** The changes that [routes] don't contain yet. */
    fun without(routes: ServiceRoutes): RouteChanges = RouteChanges(
        groups.filter { routes.groups[it.id] != it },
        removedGroups.filterTo(mutableSetOf()) { it in routes.groups },
        servers.filter { routes.servers[it.status.id] != it },
        removedServers.filterTo(mutableSetOf()) { it in routes.servers },
    )

    /** Changes that lead to the same routes from the starting points of both. */
    operator fun plus(other: RouteChanges): RouteChanges = RouteChanges(
        (groups + other.groups).distinctBy { it.id },
        removedGroups + other.removedGroups,
        (servers + other.servers).distinctBy { it.status.id },
        removedServers + other.removedServers,
    )
}
