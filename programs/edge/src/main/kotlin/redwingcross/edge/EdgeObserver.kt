package redwingcross.edge

import redwingcross.connection.http.HttpConnections
import redwingcross.process.edge.ControllerTask
import redwingcross.process.edge.CrashAttributionTask
import redwingcross.process.edge.DemandExchange
import redwingcross.process.edge.FleetState
import redwingcross.process.edge.GatewayTask
import redwingcross.process.edge.PeerTask
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.UpdateSource
import kotlin.time.DurationUnit

/** Exposes the state of the tasks of a process: as gauges, and as a snapshot on request. */
internal class EdgeObserver(
    private val node: ProcessName,
    private val clock: MonotonicClock,
    private val fleet: () -> FleetState,
    private val gateway: GatewayTask,
    private val controller: ControllerTask,
    private val peers: PeerTask,
    private val crashes: CrashAttributionTask,
    /** Null if admission isn't shared. */
    private val demand: DemandExchange? = null,
    private val stalls: StallRelay? = null,
) {
    /** Registers the gauges of the process with [metrics]. */
    fun register(metrics: EdgeMetrics, backends: HttpConnections) {
        metrics.gauge("redwingcross_requests_running") { gateway.runningRequests }
        metrics.gauge("redwingcross_requests_waiting") { gateway.waitingRequests }
        metrics.gauge("redwingcross_place_owner_lost") { if (gateway.isPlaceOwnerLost) 1 else 0 }
        metrics.gauge("redwingcross_groups_serving") {
            services().sumOf { fleet().servingGroups(it.name, clock.now()).size }
        }
        metrics.gauge("redwingcross_backend_connections_opened") { backends.opened }
        metrics.gauge("redwingcross_configuration_version") { fleet().configuration?.version?.value ?: 0 }
        metrics.gauge("redwingcross_peers_alive") { peers.alivePeers().size }
        metrics.gauge("redwingcross_duties_held") { if (controller.isActiveController) 1 else 0 }
        metrics.gauge("redwingcross_controller_absence_seconds") {
            controller.controllerAbsence.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("redwingcross_groups_avoided") { gateway.sharedHealth?.stalls?.marked().orEmpty().size }
        metrics.gauge("redwingcross_groups_stalled") { stalls?.markedCount ?: 0 }
        metrics.gauge("redwingcross_stall_evidence_ignored") { stalls?.ignoredReports ?: 0 }
        metrics.gauge("redwingcross_blocked_parts") { crashes.blockedTraits().size }
        metrics.gauge("redwingcross_back_ends_known") { fleet().table.engines.size }
        metrics.gauge("redwingcross_engines_without_group") {
            services().sumOf { fleet().table.enginesWithoutGroup(it) }
        }
        demand?.let { registerDemand(it, metrics) }
        for (source in UpdateSource.entries) {
            metrics.gauge("redwingcross_view_age_seconds", mapOf("source" to source.name.lowercase())) {
                fleet().confirmedAt[source]?.let { (clock.now() - it).toDouble(DurationUnit.SECONDS) } ?: Double.NaN
            }
        }
    }

    private fun registerDemand(demand: DemandExchange, metrics: EdgeMetrics) {
        metrics.gauge("redwingcross_requests_waiting_late") { gateway.sharedWaiting?.lateSize ?: 0 }
        metrics.gauge("redwingcross_demand_view_valid") { if (demand.currentView == null) 0 else 1 }
        metrics.gauge("redwingcross_demand_view_age_seconds") {
            demand.currentView?.age(clock.now())?.toDouble(DurationUnit.SECONDS) ?: Double.NaN
        }
        metrics.gauge("redwingcross_demand_rejected") { demand.rejected }
    }

    private fun services(): Collection<ServiceSpec> = fleet().configuration?.services?.values.orEmpty()

    /** Snapshot of the current state of the process. */
    fun state(): EdgeState {
        val now = clock.now()
        val current = fleet()
        return EdgeState(
            node = node.value,
            isActiveController = controller.isActiveController,
            configuration = current.configuration?.version?.value,
            viewAgeMillis = current.confirmedAt.entries.associate { (source, at) ->
                source.name.lowercase() to (now - at).inWholeMilliseconds
            },
            evacuatedZones = current.table.evacuatedZones.map { it.value },
            requestsRunning = gateway.runningRequests,
            peers = peers.knownPeers.map { it.toState(now) },
            services = current.serviceStates(now),
            formation = controller.groups.map { it.toState(now) },
            blockedParts = crashes.blockedTraits().map { it.toState() },
        )
    }
}
