package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.ColdAllowance
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.GatewayPlace
import redwingcross.version.fleet.KnownEngine
import redwingcross.version.fleet.ServiceTerms
import redwingcross.version.fleet.ServingGroup
import kotlin.random.Random
import kotlin.time.Duration

/** Where a request is offered. */
data class ChosenBackend(val server: BackendServer, val address: Endpoint, val group: GroupId?, val kind: String)

/** The result of a choice. */
sealed interface BackendChoice {
    data class Chosen(val backend: ChosenBackend) : BackendChoice

    /** Every back end that could run the request has as much as it can take. */
    data object AllBusy : BackendChoice

    /** No back end could run the request. */
    data object NoneServing : BackendChoice
}

/** Bounds of the choice of a back end. */
data class ChoiceSettings(
    /** Requests at a group as a multiple of its slots, beyond which a request is refused rather than queued there. */
    val groupLimit: Double = 1.3,
    /** The same for back ends of plain services, whose requests are short. */
    val serverLimit: Double = 3.0,
    /** Factor and surplus on the request rate of a cold back end. */
    val coldOverrun: Double,
    val coldSlack: Double,
)

/** Chooses the back end with the least expected work; owned by the fleet task. */
class BackendChooser(
    private val settings: () -> ChoiceSettings,
    private val load: BackendLoad,
    private val health: BackendHealth,
    private val allowance: ColdAllowance,
    private val random: Random,
) {
    /** Chooses among the groups that serve [model]. */
    fun chooseGroup(
        service: ServiceTerms,
        model: ModelName,
        groups: List<ServingGroup>,
        context: ChoiceContext,
    ): BackendChoice {
        val slots = service.pool?.slots ?: return BackendChoice.NoneServing
        val limit = slots * settings().groupLimit
        val serving = groups.filter { it.model == model && it.service == service.name }
        val usable = serving.mapNotNull { group ->
            val head = context.table.engines[group.head]
            if (head != null &&
                context.table.takesWork(head) &&
                isOpenTo(head, service, context)
            ) {
                group to head
            } else {
                null
            }
        }
        // All groups of a model may pause at once while they read long prompts.
        val preferred = usable.filter { (group, _) -> group.id !in context.avoidedGroups }.ifEmpty { usable }
        val (best, head) = preferred.filter { (group, _) -> load.total(group.head) < limit }
            .minByOrNull { (group, _) -> score(group.head, model.value) }
            ?: return if (usable.isEmpty()) BackendChoice.NoneServing else BackendChoice.AllBusy
        return BackendChoice.Chosen(ChosenBackend(head.id, head.status.address, best.id, model.value))
    }

    /** Chooses among the back ends of a plain service. */
    fun chooseServer(service: ServiceTerms, context: ChoiceContext): BackendChoice {
        val usable = context.table.engines.values.filter {
            it.status.service == service.name && context.table.takesWork(it) && isOpenTo(it, service, context)
        }
        val limit = settings().serverLimit
        val most = service.maximumConnections
        val best = usable.filter { load.total(it.id) < minOf(it.status.slots * limit, most.toDouble()) }
            .minByOrNull { score(it.id, service.name.value) / it.status.slots }
            ?: return if (usable.isEmpty()) BackendChoice.NoneServing else BackendChoice.AllBusy
        return BackendChoice.Chosen(ChosenBackend(best.id, best.status.address, null, service.name.value))
    }

    private fun isOpenTo(engine: KnownEngine, service: ServiceTerms, context: ChoiceContext): Boolean {
        if (engine.id in context.excluded || health.isAvoided(engine.id, context.now)) return false
        if (!context.table.isCold(engine, context.now) || service.coldRequestsPerSecond <= 0) return true
        val current = settings()
        val bound = (service.coldRequestsPerSecond * current.coldOverrun + current.coldSlack).toInt()
        return allowance.admits(engine.id, bound, context.place, context.now)
    }

    private fun score(server: BackendServer, kind: String): Double =
        (load.total(server) + 1 + random.nextDouble()) * health.slowness(server, kind)
}

/** What a choice depends on at one moment. */
class ChoiceContext(
    val table: EngineTable,
    val place: GatewayPlace,
    /** Back ends that the request was offered to before. */
    val excluded: Set<BackendServer>,
    /** Groups that make no progress. */
    val avoidedGroups: Set<GroupId>,
    val now: Duration,
)

/** Chooses a back end of [service] for a request of [model], or of a plain service if it is null. */
typealias ChooseBackend = (service: ServiceName, model: ModelName?, excluded: Set<BackendServer>) -> BackendChoice
