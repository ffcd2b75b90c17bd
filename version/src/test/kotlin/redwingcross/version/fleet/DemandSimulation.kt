package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the formation of groups and [DemandFormation] against engines in virtual time. [demand] is the demand for a
 * model in slots; what exceeds the open slots waits. A request holds its slot for 1.5 s.
 */
internal class DemandSimulation(
    private val pool: ModelPool,
    domains: Int,
    enginesPerDomain: Int,
    private val isOn: Boolean = true,
) {
    var demand: (ModelName) -> Double = { 0.0 }
    var isDemandKnown = true
    val engines = (0 until domains * enginesPerDomain).associateTo(LinkedHashMap()) {
        BackendServer("e$it") to FakeEngine(BackendServer("e$it"), "d${it / enginesPerDomain}")
    }
    private val gone = mutableSetOf<BackendServer>()
    private val spec = serviceTerms.copy(pool = pool)
    var table = EngineTable()
    var formation = FormationState(LeaseEpoch(1))
    var state = DemandFormationState()
    val events = mutableListOf<DemandEvent>()
    val violations = mutableListOf<String>()
    private val closings = mutableMapOf<BackendServer, Duration>()
    private val pending = mutableListOf<Pair<Duration, () -> Unit>>()
    var now = Duration.ZERO
        private set

    /** Slot seconds that were served, by model. */
    val served = mutableMapOf<ModelName, Double>()

    init {
        engines.values.forEach { list(it) }
    }

    private fun list(engine: FakeEngine) {
        val status = engineStatus(engine.id.value, engine.domain, engine.start, engine.membership, engine.staged)
        table = table.withListed(status, now)
    }

    fun groups(model: ModelSpec): Int =
        formation.groups.values.count { it.model == model.name && it.stage == GroupStage.SERVING }

    fun moves(): List<String> = events.filter { it.event == "group_move_started" }.map { it.pairs.joinToString() }

    /** Ends an engine for good; the list shows it a second later. */
    fun lose(id: BackendServer) {
        gone += id
        pending += now + 1.seconds to { table = table.without(id) }
    }

    /** Ends engines for good and adds as many empty ones in their domains. */
    fun replace(count: Int, random: Random) {
        engines.values.filter { it.id !in gone }.shuffled(random).take(count).forEach { former ->
            lose(former.id)
            val next = FakeEngine(BackendServer("e${engines.size}"), former.domain)
            engines[next.id] = next
            list(next)
        }
    }

    /** A successor without a state takes over; it knows the groups from the engines' entries. */
    fun takeOver() {
        formation = FormationState(LeaseEpoch(2), epoch = GroupEpoch(100_000))
        state = DemandFormationState()
        table = EngineTable(evacuatedZones = table.evacuatedZones)
        engines.values.filter { it.id !in gone }.forEach { list(it) }
    }

    fun run(duration: Duration, trafficStarted: Boolean = true) {
        val end = now + duration
        while (now < end) {
            now += 50.milliseconds
            engines.values.filter { it.id !in gone }.forEach(::advance)
            pending.filter { it.first <= now }.also(pending::removeAll).forEach { it.second() }
            if (now.inWholeMilliseconds % 500 == 0L && trafficStarted && isOn) decide()
            step(trafficStarted)
            pool.models.forEach {
                val slots = minOf(demand(it.name), groups(it) * pool.slots.toDouble())
                served.merge(it.name, slots * 0.05, Double::plus)
            }
        }
    }

    /** Time passes for everything but the controller, which was paused. */
    fun pause(duration: Duration) {
        now += duration
    }

    private fun advance(engine: FakeEngine) {
        engine.advance(now)
        if (closings[engine.id]?.let { now >= it } == true) {
            closings -= engine.id
            engine.membership = engine.membership?.copy(phase = MemberPhase.READY)
        }
    }

    private fun decide() {
        val demands = pool.models.map { model ->
            val inFlight = minOf(demand(model.name), groups(model) * pool.slots.toDouble())
            ModelDemand(model.name, inFlight.toInt(), (demand(model.name) - inFlight).toInt())
        }
        val view = FormationDemand(spec, pool, table, formation, demands.takeIf { isDemandKnown })
        val transition = DemandFormation.step(state, view, now)
        state = transition.state
        events += transition.effects
    }

    private fun step(trafficStarted: Boolean) {
        val before = formation.groups.values.filter { it.stage == GroupStage.RETIRING }.map { it.id }
        val view = FormationView(table, spec, pool, trafficStarted, demand = state.plan.takeIf { isOn })
        val transition = FormationDecision.step(formation, view, now)
        formation = transition.state
        val retired = formation.groups.values.filter { it.isRetiredForDemand }
        if (retired.size > 1) violations += "$now: ${retired.map(FormedGroup::id)} move at the same time"
        retired.filter { it.id !in before && it.stage == GroupStage.RETIRING }.forEach { group ->
            if (groups(pool.models.first { it.name == group.model }) < 2) violations += "$now: ${group.id} was needed"
        }
        for (effect in transition.effects) {
            when (effect) {
                is FormationEffect.RequestReport -> pending += now + 50.milliseconds to { report(effect) }
                is FormationEffect.Send -> order(effect, trafficStarted)
                is FormationEffect.LogDecision -> Unit
            }
        }
    }

    private fun report(request: FormationEffect.RequestReport) {
        val engine = engines.getValue(request.engine)
        val report = EngineReport(
            EngineStart(engine.start),
            OrderCount(engine.orders),
            engine.staged,
            engine.membership,
        )
            .takeIf { engine.id !in gone }
        val answer = ReportAnswer(request.call, engine.id, report, isAbsent = report == null)
        val applicable = FormationDecision.applicableReport(formation, table, answer)
        formation = FormationDecision.reportAnswered(formation, table, answer, FormationSettings(), now)
        if (applicable != null) table = table.withReport(engine.id, applicable, now)
    }

    private fun order(effect: FormationEffect.Send, trafficStarted: Boolean) {
        val engine = engines.getValue(effect.engine)
        val isFitting = engine.id !in gone && engine.orders == effect.expectedOrders.value
        val outcome = if (isFitting) accept(engine, effect.order, trafficStarted) else OrderOutcome.REJECTED
        pending += now + 50.milliseconds to {
            val left =
                FormationDecision.ordersAfterLeave(formation, table, effect.engine, effect.call, outcome)
            if (left != null) table = table.withoutMembership(effect.engine, left, now)
            formation = FormationDecision.orderAnswered(formation, effect.engine, effect.call, outcome, pool, now)
        }
    }

    private fun accept(engine: FakeEngine, order: FormationOrder, trafficStarted: Boolean): OrderOutcome {
        engine.orders++
        when (order) {
            is FormationOrder.Join -> join(engine, order, trafficStarted)
            is FormationOrder.Open -> engine.openAt = now + pool.openingTime
            is FormationOrder.Stage -> engine.staging = order.model to now + load(order.model, trafficStarted)
            is FormationOrder.Leave -> engine.membership = null
            is FormationOrder.Close -> {
                if (order.rejectRunning) violations += "$now: requests in flight at ${order.group} are rejected"
                engine.membership = engine.membership?.copy(phase = MemberPhase.CLOSING)
                closings[engine.id] = now + 1.5.seconds
            }
        }
        return if (order is FormationOrder.Leave) OrderOutcome.DONE else OrderOutcome.BEGUN
    }

    private fun load(model: ModelName, trafficStarted: Boolean) =
        pool.models.first { it.name == model }.load * if (trafficStarted) 1.0 else 0.1

    private fun join(engine: FakeEngine, order: FormationOrder.Join, trafficStarted: Boolean) {
        val head = formation.groups[engine.membership?.group ?: GroupId("")]?.members?.first()
        if (head != null && engines.getValue(head).membership?.phase in setOf(MemberPhase.OPEN, MemberPhase.CLOSING)) {
            violations += "$now: ${engine.id} joins ${order.group} while the head of its group serves"
        }
        engine.readyAt = now + when {
            engine.model == order.model -> 0.2.seconds
            order.model in engine.staged -> pool.models.first { it.name == order.model }.warm
            else -> load(order.model, trafficStarted)
        }
        engine.model = order.model
        engine.members = order.members
        engine.membership =
            GroupMembership(order.group, order.epoch, order.members.indexOf(engine.id), MemberPhase.JOINING)
    }
}
