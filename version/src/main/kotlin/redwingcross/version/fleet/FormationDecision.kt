package redwingcross.version.fleet

import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.plus
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Input of one step of group formation: the engines, the configuration and whether traffic has started. */
data class FormationView(
    val table: EngineTable,
    val service: ServiceSpec,
    val pool: ModelPool,
    /** Whether a caller's request was received; before the first one, loading weights is fast and has no cost. */
    val trafficStarted: Boolean,
    val settings: FormationSettings = FormationSettings(),
    /** What the demand asks for; null if the configured shares alone decide. */
    val demand: DemandPlan? = null,
)

/**
 * Forms, opens, monitors and dissolves the serving groups of one service.
 *
 * Safety does not depend on there being only one controller:
 * - Every order states the number of orders that the engine must have accepted before. Of two orders based on the same
 *   view only one is carried out, however late they arrive.
 * - A group's name and epoch are used for one list of members only.
 * - A head is opened only after each member reported that it is ready under that name and epoch.
 * - An engine joins a group only after it reported that it is in none.
 */
object FormationDecision {
    /** Computes the next state and effects at [now]; called several times per second and after each response. */
    fun step(state: FormationState, view: FormationView, now: Duration): Transition<FormationState, FormationEffect> {
        val step = FormationStep(state, view, now)
        val lifecycle = GroupLifecycle(step)
        lifecycle.adoptGroups()
        lifecycle.advanceGroups()
        UnmanagedGroups(step).releaseEngines()
        FormationPlanner(step).plan()
        step.requestReports()
        return step.result()
    }

    /**
     * The report in [answer] if it may be applied to [table]: it answers the pending call, and its start is the one
     * that is listed.
     */
    fun applicableReport(state: FormationState, table: EngineTable, answer: ReportAnswer): EngineReport? =
        answer.report?.takeIf { isPending(state, answer) && table.isOfListedStart(answer.engine, it) }

    /** Handles the end of a report request; the caller applies the [applicableReport] to [table]. */
    fun reportAnswered(
        state: FormationState,
        table: EngineTable,
        answer: ReportAnswer,
        settings: FormationSettings,
        now: Duration,
    ): FormationState {
        if (!isPending(state, answer)) return state
        val report = applicableReport(state, table, answer)
        return if (report != null) {
            reportReceived(state, answer.engine, report)
        } else {
            reportFailed(state, answer.engine, answer.isAbsent || answer.report != null, settings, now)
        }
    }

    private fun isPending(state: FormationState, answer: ReportAnswer) =
        state.calls[answer.engine]?.number == answer.call

    private fun reportReceived(state: FormationState, engine: BackendServer, report: EngineReport): FormationState {
        val load = state.loads[engine]
        val finished = load != null && report.staged?.contains(load.model) == true
        return state.copy(
            calls = state.calls - engine,
            unresponsiveSince = state.unresponsiveSince - engine,
            unresponsive = state.unresponsive - engine,
            lost = state.lost - engine,
            needsReport = if (state.isStale(engine, report.orders)) state.needsReport else state.needsReport - engine,
            loads = if (finished) state.loads - engine else state.loads,
        )
    }

    /**
     * An engine that is certainly absent counts as lost at once. One that only does not respond counts as lost when it
     * did not respond to a request that was sent after the tolerated silence; until then it may go on where it was.
     */
    private fun reportFailed(
        state: FormationState,
        engine: BackendServer,
        isAbsent: Boolean,
        settings: FormationSettings,
        now: Duration,
    ): FormationState {
        val since = state.unresponsiveSince[engine] ?: (now - TIME_BEFORE_FIRST_FAILURE)
        val isSuspected = state.suspected[engine]?.let { now - it < SUSPICION_LIFETIME } == true
        val silence = state.calls.getValue(engine).sentAt - since
        val lost = isAbsent || silence >= settings.silenceTolerance
        val isUnresponsive = lost || isSuspected || now - since >= settings.unresponsiveTimeout
        return state.copy(
            calls = state.calls - engine,
            unresponsiveSince = state.unresponsiveSince + (engine to since),
            unresponsive = if (isUnresponsive) state.unresponsive + engine else state.unresponsive,
            lost = if (lost) state.lost + (engine to now) else state.lost,
            loads = if (lost) state.loads - engine else state.loads,
        )
    }

    /**
     * The number of orders that [engine] has accepted after it left its group; null if [call] was no leave that is
     * done, or if the engine has started again since it was sent.
     */
    fun ordersAfterLeave(
        state: FormationState,
        table: EngineTable,
        engine: BackendServer,
        call: CallNumber,
        outcome: OrderOutcome,
    ): OrderCount? {
        val pending = state.calls[engine]?.takeIf { it.number == call && it.order is FormationOrder.Leave }
        val isSameStart = table.engines[engine]?.let {
            engine in state.starts && state.starts[engine] == it.status.start
        }
        return pending?.expected?.takeIf { outcome == OrderOutcome.DONE && isSameStart == true }
            ?.let { OrderCount(it.value + 1) }
    }

    /** Handles the outcome of the order to [engine] that was sent as [number]; ignored if it is no longer pending. */
    fun orderAnswered(
        state: FormationState,
        engine: BackendServer,
        number: CallNumber,
        outcome: OrderOutcome,
        pool: ModelPool,
        now: Duration,
    ): FormationState {
        val call = state.calls[engine]?.takeIf { it.number == number } ?: return state
        val order = call.order
        // A leave takes effect at once and counts as an accepted order; the engine is in no group from then on.
        val begun = outcome == OrderOutcome.BEGUN || (outcome == OrderOutcome.DONE && order is FormationOrder.Leave)
        val counted = call.expected?.takeIf { begun }?.let { OrderCount(it.value + 1) }
        val joined = (order as? FormationOrder.Join)?.model?.takeIf { begun }
        return state.copy(
            calls = state.calls - engine,
            reportRequestedAt = state.reportRequestedAt - engine,
            earliestReportAt =
            state.earliestReportAt +
                (engine to now + pool.reportLag + REPORT_MARGIN + duration(state, call, engine, pool)),
            acceptedOrders = if (counted != null) state.acceptedOrders + (engine to counted) else state.acceptedOrders,
            lastModel = if (joined != null) state.lastModel + (engine to joined) else state.lastModel,
            needsReport = if (begun && order is FormationOrder.Leave) state.needsReport else state.needsReport + engine,
            loads = if (order is FormationOrder.Stage && !begun) state.loads - engine else state.loads,
        )
    }

    /** Expected time until an order that has begun is completed. */
    private fun duration(state: FormationState, call: PendingCall, engine: BackendServer, pool: ModelPool): Duration =
        when (val order = call.order) {
            is FormationOrder.Open -> pool.openingTime
            is FormationOrder.Join -> {
                val spec = pool.models.firstOrNull { it.name == order.model }
                val load = state.loads[engine]
                when {
                    state.lastModel[engine] == order.model || spec == null -> REJOIN_TIME
                    load != null -> (load.dueAt - load.startedAt)
                    else -> spec.warm
                }
            }
            else -> Duration.ZERO
        }

    /** Handles a gateway's report that streams of [group] make no progress: its members must report at once. */
    fun groupSuspected(state: FormationState, group: GroupId, now: Duration): FormationState {
        val members = state.groups[group]?.members.orEmpty()
        val recently = members.filter { engine ->
            state.reportRequestedAt[engine]?.let { now - it < SUSPICION_DEBOUNCE } == true
        }
        return state.copy(
            needsReport = state.needsReport + (members - recently.toSet()),
            suspected = state.suspected.filterValues { now - it < SUSPICION_LIFETIME } + members.associateWith { now },
        )
    }

    /** Time that a report request has already waited when it fails. */
    private val TIME_BEFORE_FIRST_FAILURE = 300.milliseconds

    /** Added to the report lag before a report is requested, so that one request suffices. */
    private val REPORT_MARGIN = 20.milliseconds

    /** Time in which an engine joins a group of the same model as its last group. */
    private val REJOIN_TIME = 200.milliseconds

    /** Time after which a suspicion expires. */
    private val SUSPICION_LIFETIME = 1.seconds

    /**
     * Members whose report was requested this recently are not requested again, because several gateways suspect the
     * same group at about the same time.
     */
    private val SUSPICION_DEBOUNCE = 0.4.seconds
}
