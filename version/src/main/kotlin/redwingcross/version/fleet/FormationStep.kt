package redwingcross.version.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentHashMap
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.Transition
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Collects the state changes and effects of one step of group formation. */
internal class FormationStep(start: FormationState, val view: FormationView, val now: Duration) {
    var state = start
        private set
    private val effects = mutableListOf<FormationEffect>()

    private val specs = view.pool.models.associateBy { it.name }

    /** The group of each member, without lost groups, whose members may already be in another group. */
    private val groupOf = HashMap<BackendServer, FormedGroup>()

    /** Number of weight loads in progress. */
    var runningLoads = 0
        private set

    init {
        if (state.haveEnginesChanged(view.table)) discardUnlisted()
        state = state.copy(
            lost = state.lost.filter { (id, at) -> view.table.engines[id]?.let { it.observedAt <= at } == true },
            loads = state.loads.mutate { loads -> loads.values.removeAll { now >= it.dueAt + LOAD_GRACE } },
            loadStarts = state.loadStarts.filter { now - it < LOAD_WINDOW },
        )
        state.groups.values.forEach(::index)
        runningLoads = state.loads.values.count { now < it.dueAt }
    }

    /** Discards what is known of engines that are no longer listed or have restarted. */
    private fun discardUnlisted() {
        val starts = view.table.engines.values.associate { it.id to it.status.start }
        val listed = starts.filter { (id, start) -> id !in state.starts || state.starts[id] == start }.keys
        state = state.copy(
            starts = starts.toPersistentHashMap(),
            calls = state.calls.retain(listed),
            reportRequestedAt = state.reportRequestedAt.retain(listed),
            earliestReportAt = state.earliestReportAt.retain(listed),
            acceptedOrders = state.acceptedOrders.retain(listed),
            lastModel = state.lastModel.retain(listed),
            unresponsiveSince = state.unresponsiveSince.filterKeys { it in listed },
            unresponsive = state.unresponsive.filterTo(mutableSetOf()) { it in listed },
            needsReport = state.needsReport.mutate { it.retainAll(listed) },
            loads = state.loads.retain(listed),
        )
    }

    private fun index(group: FormedGroup) {
        for (member in group.members) {
            if (group.stage != GroupStage.LOST) {
                groupOf[member] = group
            } else if (groupOf[member]?.id == group.id) {
                groupOf.remove(member)
            }
        }
    }

    fun result(): Transition<FormationState, FormationEffect> = Transition(state, effects)

    /** Requests the report of every engine whose state the next step depends on. */
    fun requestReports() {
        val interval = if (view.trafficStarted) view.settings.reportInterval else view.settings.idleReportInterval
        val awaited = state.groups.values
            .filter { it.stage != GroupStage.SERVING }
            .flatMap { group ->
                group.members.filter {
                    view.table.phaseIn(group, it) != MemberPhase.READY ||
                        group.canBeOpen
                }
            }
        val loading = state.loads.filterValues { now >= it.dueAt }.keys
        val retried = state.lost.filterValues { now - it >= view.settings.lostRetryInterval }.keys
        val silent = state.unresponsiveSince.keys - state.lost.keys
        val contested = view.table.engines.values.filter { it.conflictsWithListing }.map { it.id }
        for (id in (awaited + loading + retried + silent + contested + state.needsReport).toSet()) {
            val last = state.reportRequestedAt[id]
            val isDue = state.earliestReportAt[id]?.let { now >= it } != false
            if (isDue && (last == null || now - last >= interval)) requestReport(id)
        }
    }

    private fun requestReport(id: BackendServer) {
        val engine = view.table.engines[id] ?: return
        if (id in state.calls) return
        val call = CallNumber(state.lastCall.value + 1)
        state = state.copy(
            lastCall = call,
            calls = state.calls + (id to PendingCall(call, null, now)),
            reportRequestedAt = state.reportRequestedAt + (id to now),
        )
        effects += FormationEffect.RequestReport(call, id, engine.status.address)
    }

    /** Sends an order and returns true, unless a call to the engine is pending or its report is needed first. */
    fun send(id: BackendServer, order: FormationOrder): Boolean {
        val engine = view.table.engines[id] ?: return false
        if (isUnavailable(id) || isUnresponsive(id)) return false
        if (id in state.calls || id in state.needsReport) return false
        val orders = engine.orders.takeUnless { engine.conflictsWithListing }?.takeUnless { state.isStale(id, it) }
        if (orders == null) {
            requireReport(id)
            return false
        }
        val call = CallNumber(state.lastCall.value + 1)
        state = state.copy(lastCall = call, calls = state.calls + (id to PendingCall(call, order, now, orders)))
        effects += FormationEffect.Send(call, id, engine.status.address, order, orders)
        return true
    }

    /** Registers a new group and orders its members to join. */
    fun form(model: ModelSpec, members: List<TrackedEngine>) {
        val epoch = GroupEpoch(state.epoch.value + 1)
        raiseEpoch(epoch)
        val group = FormedGroup(
            GroupNames.compose(model.name, state.lease, epoch),
            epoch,
            model.name,
            members.map { it.id },
            GroupStage.JOINING,
            now,
        )
        put(group)
        members.filter { model.name !in it.status.staged }.forEach { recordLoad(it.id, model) }
        logDecision("group_forming", "group" to group.id, "members" to group.members.joinToString(","))
        group.members.forEach { join(group, it) }
    }

    /** Loads weights onto the host of an idle engine. */
    fun stage(engine: TrackedEngine, model: ModelSpec) {
        if (!send(engine.id, FormationOrder.Stage(model.name))) return
        recordLoad(engine.id, model)
        logDecision("weights_staging", "engine" to engine.id, "model" to model.name)
    }

    private fun recordLoad(id: BackendServer, model: ModelSpec) {
        state = state.copy(
            loads = state.loads + (id to WeightLoad(model.name, now, now + expectedLoad(model))),
            loadStarts = state.loadStarts + now,
        )
        runningLoads++
    }

    /** Expected duration of a load; it grows with the number of loads beyond those that run at full speed. */
    private fun expectedLoad(model: ModelSpec): Duration {
        val factor = if (view.trafficStarted) 1.0 else LOAD_FACTOR_BEFORE_TRAFFIC
        return model.load * factor * maxOf(1.0, (runningLoads + 1.0) / view.pool.concurrentLoads)
    }

    /** The model that an engine loads, serves, is about to serve or has staged; null if there is none. */
    fun modelOf(engine: TrackedEngine): ModelName? = state.loads[engine.id]?.model
        ?: groupOf[engine.id]?.model
        ?: engine.status.staged.firstOrNull { it in specs }

    /** Whether an engine is idle, so that it can join a group or load weights. */
    fun isFree(engine: TrackedEngine): Boolean = engine.status.service == view.service.name &&
        engine.status.membership == null &&
        view.table.acceptsWork(engine) &&
        !isUnavailable(engine.id) &&
        !isUnresponsive(engine.id) &&
        engine.id !in state.calls &&
        engine.id !in state.needsReport &&
        engine.id !in state.loads &&
        engine.id !in groupOf

    /** Whether an engine is unlisted or lost. */
    fun isUnavailable(id: BackendServer): Boolean = id !in view.table.engines || id in state.lost

    /** Has the report of [id] requested before anything else is decided about it. */
    fun requireReport(id: BackendServer) {
        state = state.copy(needsReport = state.needsReport + id)
    }

    /** Stops managing a group. */
    fun remove(group: FormedGroup) {
        state = state.copy(groups = state.groups - group.id)
        group.members.forEach { if (groupOf[it]?.id == group.id) groupOf.remove(it) }
    }

    /** Adds or replaces a group. */
    fun put(group: FormedGroup) {
        state = state.copy(groups = state.groups + (group.id to group))
        index(group)
    }

    /** Moves a group to [stage] and logs it with [pairs]. */
    fun move(group: FormedGroup, stage: GroupStage, vararg pairs: Pair<String, Any?>) {
        put(group.copy(stage = stage, since = now))
        val after = "after" to (now - group.since)
        logDecision("group_${stage.name.lowercase()}", "group" to group.id, after, *pairs)
    }

    /** Raises the highest epoch in use to [epoch] if it is lower. */
    fun raiseEpoch(epoch: GroupEpoch) {
        if (epoch > state.epoch) state = state.copy(epoch = epoch)
    }

    /** Logs [event] with the fields [pairs]. */
    fun logDecision(event: String, vararg pairs: Pair<String, Any?>) {
        effects += FormationEffect.LogDecision(event, pairs.toList())
    }

    private companion object {
        /** Loads before the first request take a tenth of their time. */
        const val LOAD_FACTOR_BEFORE_TRAFFIC = 0.1

        /** A load not reported as complete this long after it was due has failed or was never begun. */
        val LOAD_GRACE = 8000.milliseconds

        /** Time for which starts of loads are kept. */
        val LOAD_WINDOW = 5000.milliseconds
    }
}

/** Orders [member] to join [group] unless it is in a group. */
internal fun FormationStep.join(group: FormedGroup, member: BackendServer) {
    val engine = view.table.engines[member] ?: return
    if (engine.status.membership != null) return
    send(member, FormationOrder.Join(group.id, group.epoch, group.model, group.members))
}

/** Whether an engine does not respond; unless it is lost as well, it may only be silent for a moment. */
internal fun FormationStep.isUnresponsive(id: BackendServer): Boolean = id in state.unresponsive

/** Whether engines were listed, removed or restarted since the state was computed. */
private fun FormationState.haveEnginesChanged(table: EngineTable): Boolean = starts.size != table.engines.size ||
    table.engines.values.any { it.id !in starts || starts[it.id] != it.status.start }

private fun <T> PersistentMap<BackendServer, T>.retain(listed: Set<BackendServer>) =
    mutate { it.keys.retainAll(listed) }

private val FormedGroup.canBeOpen: Boolean get() = stage != GroupStage.JOINING

/** Number of groups of [model] that serve, are suspended or are being formed. */
internal fun FormationState.liveGroups(model: ModelName): Int =
    groups.values.count { it.model == model && it.stage != GroupStage.LOST && it.stage != GroupStage.RETIRING }

/** The models of which groups exist, by fabric domain. */
internal fun FormationStep.servedModels(): Set<Pair<FabricDomain?, ModelName>> = state.groups.values
    .filter { it.stage != GroupStage.LOST }
    .mapNotNullTo(HashSet()) { group ->
        view.table.engines[group.members.first()]?.let { it.status.domain to group.model }
    }

/** Lost groups, whose streams must be moved to other groups. */
fun FormationState.lostGroups(): Set<GroupId> =
    groups.values.filter { it.stage == GroupStage.LOST }.mapTo(mutableSetOf()) { it.id }
