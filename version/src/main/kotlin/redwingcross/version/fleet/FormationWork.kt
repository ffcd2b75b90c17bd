package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One step of the formation in progress: the state as changed so far and the effects that were decided. */
internal class FormationWork(start: FormationState, val view: FormationView, val now: Duration) {
    var state = start
        private set
    private val effects = mutableListOf<FormationEffect>()

    private val terms = view.pool.models.associateBy { it.name }

    init {
        val starts = view.table.engines.mapValues { it.value.status.start }
        val listed = starts.filter { (id, start) -> id !in state.starts || state.starts[id] == start }.keys
        state = state.copy(
            starts = starts,
            calls = state.calls.filterKeys { it in listed },
            requestedAt = state.requestedAt.filterKeys { it in listed },
            askAfter = state.askAfter.filterKeys { it in listed },
            acceptedOrders = state.acceptedOrders.filterKeys { it in listed },
            lastModel = state.lastModel.filterKeys { it in listed },
            silentSince = state.silentSince.filterKeys { it in listed },
            lost = state.lost.filter { (id, at) -> view.table.engines[id]?.let { it.observedAt <= at } == true },
            unsettled = state.unsettled.filterTo(mutableSetOf()) { it in listed },
            loads = state.loads.filter { (id, load) -> id in listed && now < load.dueAt + LOAD_GRACE },
            loadStarts = state.loadStarts.filter { now - it < LOAD_WINDOW },
        )
    }

    fun result(): Transition<FormationState, FormationEffect> = Transition(state, effects)

    /** Asks every engine whose state decides the next step. */
    fun askAwaited() {
        val interval = if (view.trafficStarted) view.settings.askInterval else view.settings.idleAskInterval
        val awaited = state.groups.values
            .filter { it.stage != GroupStage.SERVING }
            .flatMap { group ->
                group.members.filter {
                    view.table.phaseIn(group, it) != MemberPhase.READY ||
                        mayBeOpen(group)
                }
            }
        val loading = state.loads.filterValues { now >= it.dueAt }.keys
        val retried = state.lost.filterValues { now - it >= view.settings.lostRetry }.keys
        val silent = state.silentSince.keys - state.lost.keys
        val contested = view.table.engines.values.filter { it.isContested }.map { it.id }
        for (id in (awaited + loading + retried + silent + contested + state.unsettled).toSet()) {
            val last = state.requestedAt[id]
            val isDue = state.askAfter[id]?.let { now >= it } != false
            if (isDue && (last == null || now - last >= interval)) ask(id)
        }
    }

    private fun mayBeOpen(group: FormedGroup) = group.stage != GroupStage.JOINING

    private fun ask(id: BackendServer) {
        val engine = view.table.engines[id] ?: return
        if (id in state.calls) return
        state = state.copy(
            calls = state.calls + (id to PendingCall(null, now)),
            requestedAt = state.requestedAt + (id to now),
        )
        effects += FormationEffect.Ask(id, engine.status.address)
    }

    /** Sends an order unless another call to the engine is under way or its state must be read first. */
    fun send(id: BackendServer, order: FormationOrder): Boolean {
        val engine = view.table.engines[id] ?: return false
        if (id in state.calls || id in state.unsettled || isGone(id)) return false
        val orders = engine.orders.takeUnless { engine.isContested }?.takeUnless { state.isBehind(id, it) }
        if (orders == null) {
            state = state.copy(unsettled = state.unsettled + id)
            return false
        }
        state = state.copy(calls = state.calls + (id to PendingCall(order, now, orders)))
        effects += FormationEffect.Send(id, engine.status.address, order, orders)
        return true
    }

    /** Registers a new group and orders its members to join. */
    fun form(model: ModelTerms, members: List<KnownEngine>) {
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
        members.filter { model.name !in it.status.staged }.forEach { loadStarted(it.id, model) }
        note("group_forming", "group" to group.id, "members" to group.members.joinToString(","))
        group.members.forEach { join(group, it) }
    }

    fun join(group: FormedGroup, member: BackendServer) {
        val engine = view.table.engines[member] ?: return
        if (engine.status.membership != null) return
        send(member, FormationOrder.Join(group.id, group.epoch, group.model, group.members))
    }

    /** Loads weights onto the host of an idle engine. */
    fun stage(engine: KnownEngine, model: ModelTerms) {
        if (!send(engine.id, FormationOrder.Stage(model.name))) return
        loadStarted(engine.id, model)
        note("weights_staging", "engine" to engine.id, "model" to model.name)
    }

    private fun loadStarted(id: BackendServer, model: ModelTerms) {
        state = state.copy(
            loads = state.loads + (id to WeightLoad(model.name, now, now + expectedLoad(model))),
            loadStarts = state.loadStarts + now,
        )
    }

    /** Before the first request loads take a tenth of their time; beyond a number of loads each takes longer. */
    private fun expectedLoad(model: ModelTerms): Duration {
        val factor = if (view.trafficStarted) 1.0 else LOAD_FACTOR_BEFORE_TRAFFIC
        return model.load * factor * maxOf(1.0, (runningLoads + 1.0) / view.pool.concurrentLoads)
    }

    /** The model that an engine holds, loads or is to join a group of. */
    fun modelOf(engine: KnownEngine): ModelName? = state.loads[engine.id]?.model
        ?: state.groups.values.firstOrNull { engine.id in it.members && it.stage != GroupStage.LOST }?.model
        ?: engine.status.staged.firstOrNull { it in terms }

    /** Whether an engine is idle and may be given a group or weights. */
    fun isFree(engine: KnownEngine): Boolean = engine.status.service == view.service.name &&
        engine.status.membership == null &&
        view.table.takesWork(engine) &&
        !isGone(engine.id) &&
        engine.id !in state.calls &&
        engine.id !in state.unsettled &&
        engine.id !in state.loads &&
        state.groups.values.none { engine.id in it.members && it.stage != GroupStage.LOST }

    /** Loads of weights that run at this moment. */
    val runningLoads: Int get() = state.loads.count { now < it.value.dueAt }

    fun isGone(id: BackendServer): Boolean = id !in view.table.engines || id in state.lost

    fun forget(group: FormedGroup) {
        state = state.copy(groups = state.groups - group.id)
    }

    fun put(group: FormedGroup) {
        state = state.copy(groups = state.groups + (group.id to group))
    }

    fun move(group: FormedGroup, stage: GroupStage, vararg pairs: Pair<String, Any?>) {
        put(group.copy(stage = stage, since = now))
        val after = "after" to (now - group.since)
        note("group_${stage.name.lowercase()}", "group" to group.id, after, *pairs)
    }

    fun raiseEpoch(epoch: GroupEpoch) {
        if (epoch > state.epoch) state = state.copy(epoch = epoch)
    }

    fun note(event: String, vararg pairs: Pair<String, Any?>) {
        effects += FormationEffect.Note(event, pairs.toList())
    }

    private companion object {
        /** Loads before the first request take a tenth of their time. */
        const val LOAD_FACTOR_BEFORE_TRAFFIC = 0.1

        /** A load that isn't reported this long after it was due has failed or was never begun. */
        val LOAD_GRACE = 8000.milliseconds
        val LOAD_WINDOW = 5000.milliseconds
    }
}

/** Groups that serve or will, by model. */
internal fun FormationState.liveGroups(model: ModelName): Int =
    groups.values.count { it.model == model && it.stage != GroupStage.LOST && it.stage != GroupStage.RETIRING }

/** Groups whose streams have to move to other groups. */
fun FormationState.lostGroups(): Set<GroupId> =
    groups.values.filter { it.stage == GroupStage.LOST }.mapTo(mutableSetOf()) { it.id }
