package redwingcross.version.forwarding

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.ColdRateLimiter
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.GatewayShare
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.TrackedEngine
import redwingcross.version.places.OwnedGroup
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The back end to which a request is sent. [group] is null for a back end of a plain service. [kind] names the model or
 * service; only back ends of the same kind have comparable latencies.
 */
data class ChosenBackend(
    val server: BackendServer,
    val address: Endpoint,
    val group: GroupId?,
    val kind: String,
    /** Start of the back end that was chosen; null if it is not known. */
    val start: EngineStart? = null,
)

/** Result of choosing a back end. */
sealed interface BackendChoice {
    data class Chosen(val backend: ChosenBackend) : BackendChoice

    /** Every back end that could run the request has reached its limit. */
    data object AllBusy : BackendChoice

    /** Every back end that could run the request wants no requests before [until]. */
    data class Paused(val until: Duration) : BackendChoice

    /** No back end could run the request. */
    data object NoneServing : BackendChoice

    /** Reason of the end of a request for which no back end was chosen. */
    val reason: String
        get() = when (this) {
            is AllBusy -> "all_busy"
            is Paused -> "paused"
            else -> "none_serving"
        }

    /** Whether a request that must not wait for long is served sooner by waiting than by a refusal. */
    fun isWorthWaiting(now: Duration): Boolean = this is AllBusy || (this is Paused && until - now < SHORT_PAUSE)

    private companion object {
        /** Shorter than the delay after which a refused caller comes back, so waiting serves it sooner. */
        val SHORT_PAUSE = 250.milliseconds
    }
}

/** Limits that apply when a back end is chosen. */
data class ChoiceSettings(
    /**
     * Maximum number of requests in flight at a group, as a multiple of its slots; beyond it requests wait. A request
     * that waits at the gateway can still go to whichever group has a place first, one in a group's queue can't.
     */
    val groupLimit: Double = 1.0,
    /** The same for requests that were sent before and have to go on, such as streams that lost their group. */
    val resumingGroupLimit: Double = 1.3,
    /** The same for back ends of plain services; higher, because their requests are short. */
    val serverLimit: Double = 3.0,
    /** A group that needs more than this many times the usual time gets only what the other groups can't take. */
    val slowGroup: Double = Double.POSITIVE_INFINITY,
    /** The request rate of a cold back end is limited to its configured rate times [coldOverrun] plus [coldSlack]. */
    val coldOverrun: Double,
    val coldSlack: Double,
)

/**
 * Chooses back ends by their expected load: requests in flight, weighted with the back end's [BackendHealth].
 * Not thread-safe; used by the fleet task only.
 */
class BackendChooser(
    private val settings: () -> ChoiceSettings,
    private val load: BackendLoad,
    private val health: BackendHealth,
    private val allowance: ColdRateLimiter,
    private val notices: BackendNotices,
    private val random: Random,
) {
    /** Chooses among the groups that serve [model]; the one led by [granted] if it can be used. */
    fun chooseGroup(
        spec: ServiceSpec,
        model: ModelName,
        groups: List<ServingGroup>,
        inputs: ChoiceContext,
        granted: BackendServer? = null,
    ): BackendChoice {
        val slots = spec.pool?.slots ?: return BackendChoice.NoneServing
        val limit = slots * if (inputs.isResuming) settings().resumingGroupLimit else settings().groupLimit
        val serving = groups.filter { it.model == model && it.service == spec.name }
        val heads = serving.mapNotNull { inputs.table.engines[it.head] }
        val usable = usable(serving, spec, inputs)
        val preferred = preferred(usable, inputs)
        preferred.firstOrNull { (group, _) -> group.head == granted }?.let { (group, head) ->
            return chosen(group, head, model)
        }
        val candidates = preferred.mapNotNull { entry ->
            val inFlight = load.total(entry.first.head)
            if (inFlight <
                limit
            ) {
                GroupCandidate(entry, inFlight, health.groupSlowness(entry.first.head, model.value))
            } else {
                null
            }
        }
        val quick = candidates.filter { it.slowness <= settings().slowGroup }.ifEmpty { candidates }
        val (best, head) = GroupPlacement.choose(quick, slots, inputs.place.count, random)?.group
            ?: return withoutCandidate(usable.isNotEmpty(), heads, inputs)
        return chosen(best, head, model)
    }

    /**
     * Groups of [model] whose slots can be granted to any gateway. A cold group isn't among them while its requests are
     * limited, because the limit is divided among the gateways.
     */
    fun groupsToGrant(
        spec: ServiceSpec,
        model: ModelName,
        groups: List<ServingGroup>,
        inputs: ChoiceContext,
    ): List<OwnedGroup> {
        val slots = spec.pool?.slots ?: return emptyList()
        val usable = usable(groups.filter { it.model == model && it.service == spec.name }, spec, inputs)
            .filter { (_, head) -> spec.coldRequestsPerSecond <= 0 || !inputs.table.isCold(head, inputs.now) }
        return preferred(usable, inputs).map { (group, _) ->
            OwnedGroup(group.head, slots, health.groupSlowness(group.head, model.value))
        }
    }

    private fun usable(serving: List<ServingGroup>, spec: ServiceSpec, inputs: ChoiceContext) =
        serving.mapNotNull { group ->
            val head = inputs.table.engines[group.head]
            if (head != null && inputs.table.acceptsWork(head) && canUse(head, spec, inputs)) group to head else null
        }

    // All groups of a model may stall at the same time while they process long prompts; use them all then.
    private fun preferred(usable: List<Pair<ServingGroup, TrackedEngine>>, inputs: ChoiceContext) =
        usable.filter { (group, _) -> group.id !in inputs.avoidedGroups }.ifEmpty { usable }

    private fun chosen(group: ServingGroup, head: TrackedEngine, model: ModelName) = BackendChoice.Chosen(
        ChosenBackend(head.id, head.status.address, group.id, model.value, head.status.start),
    )

    /** Chooses among the back ends of a plain service. */
    fun chooseServer(spec: ServiceSpec, inputs: ChoiceContext): BackendChoice {
        val engines = inputs.table.engines.values.filter { it.status.service == spec.name }
        val usable = engines.filter { inputs.table.acceptsWork(it) && canUse(it, spec, inputs) }
        val limit = settings().serverLimit
        val maximum = spec.maximumConnections
        val best = usable.filter { load.total(it.id) < minOf(it.status.slots * limit, maximum.toDouble()) }
            .minByOrNull { score(it.id, spec.name.value) / it.status.slots }
            ?: return withoutCandidate(usable.isNotEmpty(), engines, inputs)
        return BackendChoice.Chosen(
            ChosenBackend(best.id, best.status.address, null, spec.name.value, best.status.start),
        )
    }

    /** The result if none of [all] can be chosen; [isBusy] if some are usable and have reached their limits. */
    private fun withoutCandidate(isBusy: Boolean, all: List<TrackedEngine>, inputs: ChoiceContext): BackendChoice {
        if (isBusy) return BackendChoice.AllBusy
        val earliest = all.filter { inputs.table.acceptsWork(it) && it.id !in inputs.excluded && !isLeaving(it) }
            .minOfOrNull { notices.pausedUntil(it.id, it.status.start) }
        val isPaused = earliest != null && earliest > inputs.now
        return if (isPaused) BackendChoice.Paused(earliest) else BackendChoice.NoneServing
    }

    private fun isLeaving(engine: TrackedEngine) = notices.isLeaving(engine.id, engine.status.start)

    private fun canUse(engine: TrackedEngine, spec: ServiceSpec, inputs: ChoiceContext): Boolean {
        if (engine.id in inputs.excluded || health.isAvoided(engine.status, inputs.now)) return false
        if (isLeaving(engine) || inputs.now < notices.pausedUntil(engine.id, engine.status.start)) return false
        if (!inputs.table.isCold(engine, inputs.now) || spec.coldRequestsPerSecond <= 0) return true
        val current = settings()
        val limit = (spec.coldRequestsPerSecond * current.coldOverrun + current.coldSlack).toInt()
        return allowance.admits(engine.id, limit, inputs.place, inputs.now)
    }

    private fun score(server: BackendServer, kind: String): Double =
        (load.total(server) + 1 + random.nextDouble()) * health.slowness(server, kind)
}

/** Inputs of one choice. */
class ChoiceContext(
    val table: EngineTable,
    val place: GatewayShare,
    /** Back ends to which this request has already been sent. */
    val excluded: Set<BackendServer>,
    /** Groups that currently make no progress; used only if there is no other. */
    val avoidedGroups: Set<GroupId>,
    /** Whether the request was sent before, so that refusing it would lose work. */
    val isResuming: Boolean,
    val now: Duration,
)

/** What a request needs from a back end. */
data class ChoiceRequest(
    val service: ServiceName,
    /** Null for a plain service. */
    val model: ModelName?,
    /** Back ends to which the request has already been sent. */
    val excluded: Set<BackendServer>,
    /** Whether the request was sent before, so that refusing it would lose work. */
    val isResuming: Boolean,
    /** Properties of the service when the request was admitted; null if they are not known. */
    val admittedTo: ServiceSpec? = null,
) {
    /**
     * The properties of the service under which a back end is chosen: those in the [current] configuration, whose
     * limits are those of the back ends, or else those that the request was admitted to. A service that was removed, or
     * changed between engines and plain back ends, still completes the requests in progress.
     */
    fun terms(current: FleetConfiguration?): ServiceSpec? {
        val spec = current?.services?.get(service) ?: return admittedTo
        val isSameKind = admittedTo == null || (spec.pool == null) == (admittedTo.pool == null)
        return if (isSameKind) spec else admittedTo
    }
}

/** Chooses a back end for a request. */
typealias ChooseBackend = (ChoiceRequest) -> BackendChoice
