package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName

/** Demand for one model as the whole fleet measures it. */
data class ModelDemand(
    val model: ModelName,
    /** Requests in flight at the heads of the model's groups. */
    val inFlight: Int,
    /** Requests that wait at gateways for a free slot. */
    val waiting: Int = 0,
    /** Requests that all gateways together refuse in a second for lack of slots. */
    val refusedPerSecond: Double = 0.0,
)

/** What [DemandFormation] asks of the formation of groups. An empty plan changes no number of groups. */
data class DemandPlan(
    /** Number of groups wanted of a model; the configured share decides for models without an entry. */
    val targets: Map<ModelName, Int> = emptyMap(),
    /** The serving group to close, so that its engines can join groups of another model; null if there is none. */
    val retire: GroupId? = null,
    /** Engines on whose hosts weights are to be loaded in place of those that are staged there. */
    val stage: Map<BackendServer, ModelName> = emptyMap(),
    /** Engines of a group move in progress; what is staged on their hosts stays. */
    val kept: Set<BackendServer> = emptySet(),
)

/** What one decision of [DemandFormation] is based on. */
data class FormationDemand(
    val service: ServiceSpec,
    val pool: ModelPool,
    val table: EngineTable,
    val formation: FormationState,
    /** Null if the fleet's demand is not known at present. */
    val demand: List<ModelDemand>?,
    val settings: FormationSettings = FormationSettings(),
)

/** An event of [DemandFormation] for the log. */
data class DemandEvent(val event: String, val pairs: List<Pair<String, Any?>>)
