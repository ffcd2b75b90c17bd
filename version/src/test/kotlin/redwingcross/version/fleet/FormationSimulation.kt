package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates an engine's orders and reports. It does not check the other members of its group. */
internal class FakeEngine(
    val id: BackendServer,
    val domain: String,
    val address: Endpoint = engineStatus(id.value).address,
    var start: Long = 1L,
) {
    var alive = true

    /** Whether connections to the engine are refused; otherwise one that has ended doesn't answer them. */
    var refuses = false

    /** Time until which the engine answers nothing; it goes on where it was then. */
    var silentUntil = Duration.ZERO
    var orders = 0L
    var staged = emptyList<ModelName>()
    var staging: Pair<ModelName, Duration>? = null
    var membership: GroupMembership? = null
    var members = emptyList<BackendServer>()
    var model: ModelName? = null
    var readyAt = Duration.ZERO
    var openAt: Duration? = null

    fun advance(now: Duration) {
        staging?.takeIf { now >= it.second }?.let {
            staged = listOf(it.first)
            staging = null
        }
        val current = membership ?: return
        if (current.phase == MemberPhase.JOINING && now >= readyAt) {
            membership = current.copy(phase = MemberPhase.READY)
            model?.let { staged = listOf(it) }
        }
        if (openAt?.let { now >= it } == true) {
            membership = membership?.copy(phase = MemberPhase.OPEN)
            openAt = null
        }
    }

    fun restart() {
        start++
        refuses = false
        orders = 0
        membership = null
        openAt = null
        staging = null
        alive = true
    }
}

/**
 * Runs one controller, or two that do not coordinate, against simulated engines in virtual time. Orders may be carried
 * out seconds late, reports lag, and engines crash, restart and fall silent. [violations] lists the violated
 * invariants.
 */
internal class FormationSimulation(
    seed: Int,
    private val controllers: Int,
    engineCount: Int,
    private val lateOrderFraction: Double,
) {
    private val random = Random(seed)
    val engines =
        (1..engineCount).mapTo(mutableListOf()) {
            FakeEngine(BackendServer("e$it"), "d${(it - 1) / ENGINES_PER_DOMAIN}")
        }
    private val byId = engines.associateByTo(mutableMapOf()) { it.id }
    private val states = MutableList(controllers) {
        FormationState(
            LeaseEpoch(it + 1L),
            epoch = GroupEpoch(
                EPOCHS_PER_CONTROLLER * (it + 1L),
            ),
        )
    }
    private val tables = MutableList(controllers) { EngineTable() }
    private val events = mutableListOf<Pair<Duration, () -> Unit>>()
    private val readyMembers = mutableMapOf<Pair<GroupId, GroupEpoch>, MutableSet<BackendServer>>()
    val violations = mutableListOf<String>()
    var now = Duration.ZERO
        private set

    /** Engines that were ordered to leave a group, in order. */
    val ordersToLeave = mutableListOf<BackendServer>()

    /** The groups that the first controller manages. */
    val groups: Collection<FormedGroup> get() = states[0].groups.values

    fun engine(id: BackendServer): FakeEngine = byId.getValue(id)

    /** Number of groups that could serve a request at [now]. */
    fun servingGroups(): Int = engines.count { head ->
        val membership = head.membership
        head.alive &&
            membership?.phase == MemberPhase.OPEN &&
            head.members.all { member ->
                byId.getValue(member).let { it.alive && it.membership?.group == membership.group }
            }
    }

    fun crash(count: Int, returnAfter: Duration?) {
        engines.filter { it.alive }.shuffled(random).take(count).forEach { engine ->
            engine.alive = false
            returnAfter?.let { delay -> at(now + delay) { engine.restart() } }
        }
    }

    /** Ends [id] for good; gateways see that the streams of its group make no progress. */
    fun end(id: BackendServer, refuses: Boolean) {
        byId.getValue(id).let {
            it.alive = false
            it.refuses = refuses
        }
        suspectFrom(now + SUSPICION_DELAY, listOf(id))
    }

    /** Makes engines fall silent for the given times; gateways see that the streams of their groups stall. */
    fun silence(durations: Map<BackendServer, Duration>) {
        durations.forEach { (id, duration) -> byId.getValue(id).silentUntil = now + duration }
        durations.values.maxOrNull()?.let {
            suspectFrom(now + SUSPICION_DELAY, durations.keys.toList(), until = now + it)
        }
    }

    /** Silences [count] engines for a time each that a sound engine may need. */
    fun silenceSome(count: Int) = silence(
        engines.filter { it.alive }.shuffled(random).take(count).associate { engine ->
            engine.id to 600.milliseconds + 1.seconds * random.nextDouble()
        },
    )

    /** Lists [id] as about to leave. */
    fun drain(id: BackendServer) = repeat(controllers) {
        val status = tables[it].engines.getValue(id).status
        tables[it] = tables[it].withListed(status.copy(draining = true), now)
    }

    /** A new controller takes over; the list does not yet contain the memberships of [unlisted]. */
    fun takeOver(unlisted: Set<BackendServer>) {
        val lease = LeaseEpoch(states[0].lease.value + controllers)
        val epoch = GroupEpoch(EPOCHS_PER_CONTROLLER * lease.value)
        states[0] = FormationState(lease, epoch = epoch, lastCall = states[0].lastCall)
        tables[0] = EngineTable()
        engines.filter { it.alive }.forEach { list(0, it) }
        for (id in unlisted) {
            val status = tables[0].engines.getValue(id).status
            tables[0] = tables[0].withListed(status.copy(membership = null), now)
        }
    }

    private fun suspectFrom(time: Duration, members: List<BackendServer>, until: Duration = time) {
        at(time) {
            repeat(controllers) { suspectGroups(it, members) }
            if (time + SUSPICION_INTERVAL < until) suspectFrom(time + SUSPICION_INTERVAL, members, until)
        }
    }

    /**
     * Ends [count] engines of one domain for good. New engines with other ids take over their addresses in another
     * order, while the former ones stay listed for some seconds.
     */
    fun replaceAtSameAddresses(count: Int) {
        val domain = engines.filter { it.alive }.random(random).domain
        val former = engines.filter { it.alive && it.domain == domain }.shuffled(random).take(count)
        former.forEach { it.alive = false }
        suspectFrom(now + SUSPICION_DELAY, former.map(FakeEngine::id))
        former.shuffled(random).forEach { old ->
            at(now + TAKEOVER_DELAY + TAKEOVER_DELAY * random.nextDouble()) {
                val start = now.inWholeMilliseconds
                val next = FakeEngine(BackendServer("e${engines.size + 1}"), domain, old.address, start)
                engines += next
                byId[next.id] = next
            }
            at(now + LISTED_AFTER_END + LISTED_AFTER_END * random.nextDouble()) {
                repeat(controllers) { tables[it] = tables[it].without(old.id) }
            }
        }
    }

    /** Tells a controller that the streams of the groups of [members] make no progress. */
    private fun suspectGroups(controller: Int, members: List<BackendServer>) {
        val groups = states[controller].groups.values.filter { group -> group.members.any { it in members } }
        groups.forEach {
            states[controller] = FormationDecision.groupSuspected(states[controller], it.id, now)
        }
    }

    fun run(duration: Duration, trafficStarted: Boolean) {
        val end = now + duration
        while (now < end) {
            now += STEP
            engines.forEach { it.advance(now) }
            recordReadyMembers()
            events.filter { it.first <= now }.also(events::removeAll).forEach { it.second() }
            if ((now / STEP).toInt() % STEPS_BETWEEN_TICKS == 0) repeat(controllers) { tick(it, trafficStarted) }
        }
    }

    private fun recordReadyMembers() {
        for (engine in engines.filter { it.alive }) {
            val membership = engine.membership ?: continue
            if (membership.phase != MemberPhase.JOINING) {
                readyMembers.getOrPut(membership.group to membership.epoch, ::mutableSetOf) += engine.id
            }
        }
    }

    private fun at(time: Duration, action: () -> Unit) {
        events += time to action
    }

    private fun tick(controller: Int, trafficStarted: Boolean) {
        // The list is only updated when an engine restarts; the state of its membership comes from reports.
        for (engine in engines) {
            val known = tables[controller].engines[engine.id]
            if (engine.alive && known?.status?.start != EngineStart(engine.start)) list(controller, engine)
        }
        val view = FormationView(tables[controller], serviceTerms, pool, trafficStarted)
        val transition = FormationDecision.step(states[controller], view, now)
        states[controller] = transition.state
        transition.effects.forEach { carryOut(controller, it, trafficStarted) }
    }

    private fun list(controller: Int, engine: FakeEngine) {
        val status = engineStatus(engine.id.value, engine.domain, engine.start, engine.membership, engine.staged)
            .copy(domain = FabricDomain(engine.domain), address = engine.address)
        tables[controller] = tables[controller].withListed(status, now)
    }

    private fun carryOut(controller: Int, effect: FormationEffect, trafficStarted: Boolean) {
        when (effect) {
            is FormationEffect.RequestReport -> requestReport(controller, effect)
            is FormationEffect.Send -> {
                if (effect.order is FormationOrder.Leave) ordersToLeave += effect.engine
                order(controller, effect, trafficStarted)
            }
            is FormationEffect.LogDecision -> Unit
        }
    }

    private fun holderOf(address: Endpoint): FakeEngine? = engines.lastOrNull { it.alive && it.address == address }

    private fun requestReport(controller: Int, effect: FormationEffect.RequestReport) {
        val id = effect.engine
        val isRefused = engines.last { it.address == effect.address }.refuses
        val report = holderOf(effect.address)?.takeIf { now >= it.silentUntil }?.let {
            EngineReport(EngineStart(it.start), OrderCount(it.orders), it.staged, it.membership)
        }
        at(now + if (report != null || isRefused) 5.milliseconds else 300.milliseconds) {
            val answer = ReportAnswer(effect.call, id, report, isAbsent = isRefused)
            val applicable = FormationDecision.applicableReport(states[controller], tables[controller], answer)
            states[controller] = FormationDecision.reportAnswered(
                states[controller],
                tables[controller],
                answer,
                FormationSettings(),
                now,
            )
            if (applicable != null) tables[controller] = tables[controller].withReport(id, applicable, now)
        }
    }

    /** Delivers an order to the holder of its address, which rejects one that names another engine. */
    private fun order(controller: Int, effect: FormationEffect.Send, trafficStarted: Boolean) {
        val engine = holderOf(effect.address)
            ?: return answer(controller, effect, OrderOutcome.UNKNOWN, 400.milliseconds)
        if (engine.id != effect.engine) return answer(controller, effect, OrderOutcome.REJECTED, 5.milliseconds)
        if (now < engine.silentUntil) {
            at(engine.silentUntil) { accept(engine, effect, trafficStarted) }
            return answer(controller, effect, OrderOutcome.UNKNOWN, 400.milliseconds)
        }
        if (random.nextDouble() < lateOrderFraction) {
            at(now + 2.seconds + 10.seconds * random.nextDouble()) { accept(engine, effect, trafficStarted) }
            return answer(controller, effect, OrderOutcome.UNKNOWN, 400.milliseconds)
        }
        answer(controller, effect, accept(engine, effect, trafficStarted), 5.milliseconds)
    }

    private fun answer(controller: Int, effect: FormationEffect.Send, outcome: OrderOutcome, delay: Duration) =
        at(now + delay) {
            val left = FormationDecision.ordersAfterLeave(
                states[controller],
                tables[controller],
                effect.engine,
                effect.call,
                outcome,
            )
            if (left != null) tables[controller] = tables[controller].withoutMembership(effect.engine, left, now)
            states[controller] =
                FormationDecision.orderAnswered(states[controller], effect.engine, effect.call, outcome, pool, now)
        }

    private fun accept(engine: FakeEngine, effect: FormationEffect.Send, trafficStarted: Boolean): OrderOutcome {
        if (!engine.alive || engine.orders != effect.expectedOrders.value) return OrderOutcome.REJECTED
        return when (val order = effect.order) {
            is FormationOrder.Join -> join(engine, order, trafficStarted)
            is FormationOrder.Open -> open(engine, order)
            is FormationOrder.Close -> OrderOutcome.REJECTED
            is FormationOrder.Leave -> leave(engine, order)
            is FormationOrder.Stage -> {
                engine.orders++
                engine.staging = order.model to now + if (trafficStarted) 12.seconds else 1.2.seconds
                OrderOutcome.BEGUN
            }
        }
    }

    private fun join(engine: FakeEngine, order: FormationOrder.Join, trafficStarted: Boolean): OrderOutcome {
        val head = engine.members.firstOrNull()?.let(byId::getValue)
        val headServes = head != null &&
            head.alive &&
            head.membership?.phase == MemberPhase.OPEN &&
            head.membership?.group == engine.membership?.group
        if (headServes) violations += "${engine.id} joins ${order.group} while the head ${head?.id} of its group serves"
        engine.orders++
        val staged = order.model in engine.staged
        val load = if (trafficStarted) 12.seconds else 1.2.seconds
        engine.readyAt = now + if (engine.model == order.model) {
            0.2.seconds
        } else if (staged) {
            1.1.seconds
        } else {
            load
        }
        engine.model = order.model
        engine.members = order.members
        engine.membership =
            GroupMembership(order.group, order.epoch, order.members.indexOf(engine.id), MemberPhase.JOINING)
        return OrderOutcome.BEGUN
    }

    private fun open(engine: FakeEngine, order: FormationOrder.Open): OrderOutcome {
        val membership = engine.membership
        if (membership?.group != order.group || membership.phase != MemberPhase.READY) return OrderOutcome.REJECTED
        engine.orders++
        engine.openAt = now + pool.openingTime
        val ready = readyMembers[order.group to order.epoch].orEmpty()
        val absent = engine.members - ready
        if (absent.isNotEmpty()) violations += "${order.group} opens although $absent were never ready"
        return OrderOutcome.BEGUN
    }

    private fun leave(engine: FakeEngine, order: FormationOrder.Leave): OrderOutcome {
        if (engine.membership?.group != order.group) return OrderOutcome.REJECTED
        engine.orders++
        engine.membership = null
        engine.members = emptyList()
        engine.openAt = null
        return OrderOutcome.DONE
    }

    private companion object {
        val STEP = 10.milliseconds
        const val STEPS_BETWEEN_TICKS = 10
        const val ENGINES_PER_DOMAIN = 10
        const val EPOCHS_PER_CONTROLLER = 100_000L
        val SUSPICION_DELAY = 600.milliseconds
        val SUSPICION_INTERVAL = 400.milliseconds
        val TAKEOVER_DELAY = 500.milliseconds
        val LISTED_AFTER_END = 2.seconds
    }
}
