package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.version.admission.DemandView
import redwingcross.version.fleet.DemandFormation
import redwingcross.version.fleet.DemandFormationState
import redwingcross.version.fleet.DemandPlan
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FormationDemand
import redwingcross.version.fleet.FormationState
import redwingcross.version.fleet.ModelDemand
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Waiting and refused requests of the models of a service over the fleet; empty if they are not known. */
typealias ReadWaitingDemand = (ServiceName) -> List<ModelDemand>

/** Callbacks through which [DemandFollower] reads the process state. */
class DemandDependencies(
    val table: () -> EngineTable,
    /** Requests of all gateways in flight by back end. */
    val fleetLoad: () -> Map<BackendServer, Int>,
    /** Whether enough processes report their load; otherwise the demand counts as not known. */
    val isFleetHeard: () -> Boolean,
    val waitingDemand: ReadWaitingDemand = { emptyList() },
)

/**
 * Owns, on the active controller, what is known of the demand for each model, and provides the plan that the formation
 * of groups follows. It decides twice a second, not at each step of the formation.
 */
class DemandFollower(
    private val dependencies: DemandDependencies,
    private val clock: MonotonicClock,
    private val log: LogEvent,
) {
    private class Followed(val lease: LeaseEpoch, val at: Duration, val state: DemandFormationState)

    private val followed = HashMap<ServiceName, Followed>()

    /** Number of group moves in progress. */
    val movesInProgress: Int get() = followed.values.count { it.state.move != null }

    /** The plan for [service]; what was known under an earlier lease than that of [formation] is discarded. */
    fun plan(service: ServiceSpec, pool: ModelPool, formation: FormationState): DemandPlan {
        val now = clock.now()
        val known = followed[service.name]?.takeIf { it.lease == formation.lease }
        if (known != null && now - known.at < DECISION_INTERVAL) return known.state.plan
        val demand = if (dependencies.isFleetHeard()) measure(service, pool, formation) else null
        val view = FormationDemand(service, pool, dependencies.table(), formation, demand)
        val transition = DemandFormation.step(known?.state ?: DemandFormationState(), view, now)
        followed[service.name] = Followed(formation.lease, now, transition.state)
        transition.effects.forEach { log(it.event, it.pairs.toTypedArray()) }
        return transition.state.plan
    }

    private fun measure(service: ServiceSpec, pool: ModelPool, formation: FormationState): List<ModelDemand> {
        val load = dependencies.fleetLoad()
        val inFlight = formation.groups.values
            .filter { it.runsRequests }
            .groupBy({ it.model }, { load[it.members.first()] ?: 0 })
        val waiting = dependencies.waitingDemand(service.name).associateBy { it.model }
        return pool.models.map { spec ->
            val count = inFlight[spec.name].orEmpty().sum()
            waiting[spec.name]?.copy(inFlight = count) ?: ModelDemand(spec.name, count)
        }
    }

    private companion object {
        /** Two rounds of heartbeats, so that each decision sees new counts of every gateway. */
        val DECISION_INTERVAL = 500.milliseconds
    }
}

/** What gateways report of waiting and refused requests, for each model; requests in flight are counted elsewhere. */
fun DemandView.waitingModels(): List<ModelDemand> = kinds.map { (kind, demand) ->
    ModelDemand(
        ModelName(kind.name),
        inFlight = 0,
        waiting = demand.waitingInTime + demand.waitingLate,
        refusedPerSecond = demand.refusedPerSecond,
    )
}
