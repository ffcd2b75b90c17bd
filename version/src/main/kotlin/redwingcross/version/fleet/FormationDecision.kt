package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the formation knows of the world at one step. */
data class FormationView(
    val table: EngineTable,
    val service: ServiceTerms,
    val pool: ModelPool,
    /** Whether requests of callers have been seen; before them, loads are quick and free. */
    val trafficStarted: Boolean,
    val settings: FormationSettings = FormationSettings(),
)

/**
 * Forms, opens, watches and takes apart the serving groups of one service.
 *
 * Safety does not rest on being the only controller: every order carries the number of orders that the engine must
 * have accepted before, so of two orders that were decided on the same view only one is carried out, however late; a
 * group's name and epoch are used for one list of members only; a head is opened only after each member has reported
 * that it is ready under that name and epoch; and an engine joins a group only after it reported to be in none.
 */
object FormationDecision {
    /** One step; called several times a second and after each answer. */
    fun step(state: FormationState, view: FormationView, now: Duration): Transition<FormationState, FormationEffect> {
        val work = FormationWork(state, view, now)
        val groups = FormationGroups(work)
        groups.adoptGroups()
        groups.advanceGroups()
        groups.releaseStrays()
        FormationPlanner(work).plan()
        work.askAwaited()
        return work.result()
    }

    /** An engine answered a question; the table has been updated with the report. */
    fun answered(state: FormationState, engine: BackendServer, report: EngineReport): FormationState {
        val load = state.loads[engine]
        val finished = load != null && report.staged?.contains(load.model) == true
        return state.copy(
            calls = state.calls.filterNot { it.key == engine && it.value.order == null },
            silentSince = state.silentSince - engine,
            lost = state.lost - engine,
            unsettled = if (state.isBehind(engine, report.orders)) state.unsettled else state.unsettled - engine,
            loads = if (finished) state.loads - engine else state.loads,
        )
    }

    /** An engine did not answer a question; [refused] if its address is certainly not served. */
    fun unanswered(
        state: FormationState,
        engine: BackendServer,
        refused: Boolean,
        settings: FormationSettings,
        now: Duration,
    ): FormationState {
        val since = state.silentSince[engine] ?: (now - SILENCE_BEFORE_FIRST_FAILURE)
        val isSuspected = state.suspected[engine]?.let { now - it < SUSPICION_LIFETIME } == true
        val lost = refused || isSuspected || now - since >= settings.silenceLimit
        return state.copy(
            calls = state.calls.filterNot { it.key == engine && it.value.order == null },
            silentSince = state.silentSince + (engine to since),
            lost = if (lost) state.lost + (engine to now) else state.lost,
            loads = if (lost) state.loads - engine else state.loads,
        )
    }

    /** An order was answered, or not. */
    fun ordered(
        state: FormationState,
        engine: BackendServer,
        outcome: OrderOutcome,
        pool: ModelPool,
        now: Duration,
    ): FormationState {
        val call = state.calls[engine] ?: return state
        val order = call.order
        // A leave is done at once and counts as an order; the engine is in no group from then on.
        val begun = outcome == OrderOutcome.BEGUN || (outcome == OrderOutcome.DONE && order is FormationOrder.Leave)
        val counted = call.expected?.takeIf { begun }?.let { OrderCount(it.value + 1) }
        val joined = (order as? FormationOrder.Join)?.model?.takeIf { begun }
        return state.copy(
            calls = state.calls - engine,
            requestedAt = state.requestedAt - engine,
            askAfter =
            state.askAfter + (engine to now + pool.reportLag + REPORT_MARGIN + duration(state, call, engine, pool)),
            acceptedOrders = if (counted != null) state.acceptedOrders + (engine to counted) else state.acceptedOrders,
            lastModel = if (joined != null) state.lastModel + (engine to joined) else state.lastModel,
            unsettled = if (begun && order is FormationOrder.Leave) state.unsettled else state.unsettled + engine,
            loads = if (order is FormationOrder.Stage && !begun) state.loads - engine else state.loads,
        )
    }

    /** How long it takes until an order that has begun is done. */
    private fun duration(state: FormationState, call: PendingCall, engine: BackendServer, pool: ModelPool): Duration =
        when (val order = call.order) {
            is FormationOrder.Open -> pool.opening
            is FormationOrder.Join -> {
                val terms = pool.models.firstOrNull { it.name == order.model }
                val load = state.loads[engine]
                when {
                    state.lastModel[engine] == order.model || terms == null -> REJOIN_TIME
                    load != null -> (load.dueAt - load.startedAt)
                    else -> terms.warm
                }
            }
            else -> Duration.ZERO
        }

    /** A gateway sees no progress on streams of [group]: its members are asked at once. */
    fun suspected(state: FormationState, group: GroupId, now: Duration): FormationState {
        val members = state.groups[group]?.members.orEmpty()
        val recently = members.filter { engine -> state.requestedAt[engine]?.let { now - it < SUSPECT_PAUSE } == true }
        return state.copy(
            unsettled = state.unsettled + (members - recently.toSet()),
            suspected = state.suspected.filterValues { now - it < SUSPICION_LIFETIME } + members.associateWith { now },
        )
    }

    /** The question itself has waited that long when it fails for the first time. */
    private val SILENCE_BEFORE_FIRST_FAILURE = 300.milliseconds

    /** Reports are read this much later than their lag, so that one question suffices. */
    private val REPORT_MARGIN = 20.milliseconds

    /** An engine joins a group of the model of its last group in this time. */
    private val REJOIN_TIME = 200.milliseconds

    private val SUSPICION_LIFETIME = 1.seconds

    /** Several gateways suspect the same group at about the same time. */
    private val SUSPECT_PAUSE = 0.4.seconds
}
