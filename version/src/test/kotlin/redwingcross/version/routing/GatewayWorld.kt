package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotResult
import redwingcross.version.bundle.Bundle
import redwingcross.version.control.CapacityLimits
import redwingcross.version.control.ControlEffect
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.ControlState
import redwingcross.version.control.LeavingVms
import redwingcross.version.control.ListedVm
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion
import redwingcross.version.control.VmListVersion
import redwingcross.version.control.versions
import redwingcross.version.placement.GroupReadiness
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val TICK = 500.milliseconds

/** A backend server of group [group] since one of its starts. */
internal class Incarnation(
    val group: Int,
    val number: Int,
    val generation: Long,
    val startedAt: Duration,
    val readyAt: Duration,
) {
    val boot = "boot-$group-$number"
    var coldAt: Duration? = null

    /** Times of cold turns that processes know of. */
    val toldCold = mutableMapOf<GatewayProcess, Duration>()
}

/** A request that runs at [at]; its gateway knew of the cold turn at [knownColdAt]. */
internal class Flight(
    val process: GatewayProcess,
    val slot: Slot,
    val at: Incarnation,
    val until: Duration,
    val knownColdAt: Duration?,
)

/** Gateways with their real decisions, a platform and engines as simple lists, and the true time. */
internal class GatewayWorld(
    val gatewayCount: Int,
    val settings: RouterSettings,
    val limits: CapacityLimits,
    seed: Long,
) {
    val random = Random(seed)
    var now = 1.hours
    var platformUp = true
    private val bodies = mutableListOf(body((0 until gatewayCount).toList()))
    private val controls = mutableListOf(now to ControlState(accepted(1, bodies.last())))
    private val engines = List(GROUPS) { mutableListOf(Incarnation(it, 1, 1, Duration.ZERO, now)) }
    val processes = (0 until gatewayCount).map { start(it) }.toMutableList()
    private val flights = mutableListOf<Flight>()
    private var ticks = 0
    var dispatched = 0
        private set

    private fun body(gateways: List<Int>): Bundle =
        bundleOf(gateways, GROUPS, limits.cold, limits.warm, limits.rampStep)

    private fun start(index: Int) = GatewayProcess(this, gatewayName(index), offset = random.nextInt(100).hours)

    fun controlAt(time: Duration): ControlState = controls.last { it.first <= time || it == controls.first() }.second

    /** The platform accepts a change; the operator's command pushes it to one gateway that it reaches. */
    fun change(edit: ControlState.() -> ControlState) {
        if (!platformUp) return
        controls += now to controlAt(now).edit()
        processes.firstOrNull { !it.isIsolated && !it.isFrozen }
            ?.learn(ControlMessage.PeerState(gatewayName(0), controlAt(now), requestedAt = null))
    }

    fun changeRoster(absent: Int) = change {
        val version = bundle!!.version.value + 1
        copy(bundle = accepted(version, body((0 until gatewayCount).filter { (it + absent) % 4 != 0 || absent == 0 })))
    }

    fun changeOverrides(edit: Overrides.() -> Overrides) = change {
        copy(overrides = overrides.edit().copy(version = OverridesVersion(overrides.version.value + 1)))
    }

    fun toggleLeaving(group: Int) = change {
        val vm = vmsOf(group).last()
        val vms = if (vm in leaving.vms) leaving.vms - vm else leaving.vms + vm
        copy(leaving = LeavingVms(VmListVersion(leaving.version.value + 1), vms))
    }

    /** The newest process of gateway [index]. */
    fun processOf(index: Int) = processes.last { it.name == gatewayName(index % gatewayCount) }

    /** The process ends; its requests go on at the engines. A [zombie] runs on without contact to anyone. */
    fun restart(process: GatewayProcess, zombie: Boolean) {
        if (zombie) process.isolatedUntil = Duration.INFINITE else processes -= process
        processes += GatewayProcess(this, process.name, offset = random.nextInt(100).hours)
    }

    fun restartEngine(group: Int) {
        val old = engines[group].last()
        // Loading the weights takes longer than a status lives, so no gateway takes the new process for the old one.
        val readyAt = now + settings.statusLifetime + random.nextInt(1, 12).seconds
        engines[group] += Incarnation(group, old.number + 1, old.generation + random.nextInt(2), now, readyAt)
        val broken = flights.filter { it.at == old }
        flights.removeAll(broken)
        broken.forEach { flight ->
            flight.process.deliver(random.nextInt(10).seconds) {
                flight.process.release(flight.slot.id, SlotResult.Failed("connection reset"))
            }
        }
    }

    fun turnCold(group: Int) {
        engines[group].last().coldAt = now
    }

    fun spread(from: GatewayProcess, report: ColdReport) {
        val engine = engines.flatten().find { it.boot == report.incarnation.value } ?: return
        val coldAt = engine.coldAt ?: return
        engine.toldCold[from] = coldAt
        processes.filter { it != from && !it.isIsolated }.forEach { process ->
            process.deliver(random.nextInt(20).seconds) {
                engine.toldCold[process] = coldAt
                process.route(RouterMessage.ColdReported(report))
            }
        }
    }

    fun advance(time: Duration) = repeat((time / TICK).toInt()) { tick() }

    private fun tick() {
        now += TICK
        ticks++
        val ended = flights.filter { it.until <= now }
        flights.removeAll(ended)
        ended.forEach { flight ->
            flight.process.deliver(Duration.ZERO) {
                flight.process.release(flight.slot.id, SlotResult.Served(50.milliseconds, flight.at.boot))
            }
        }
        processes.toList().filter { !it.isFrozen }.forEach(::run)
    }

    private fun run(process: GatewayProcess) {
        process.receiveDue()
        if (!process.isIsolated) {
            if (platformUp && now >= process.platformCutUntil && random.nextInt(3) > 0) hearPlatform(process)
            gossip(process)
            engines.indices.forEach { hearStatus(process, it) }
        }
        process.route(RouterMessage.Tick)
        process.learn(ControlMessage.Tick).forEach { effect ->
            if (effect is ControlEffect.AskSeedPeers && !process.isIsolated) {
                processes.filter { it.isReachable() && it != process }.forEach { answer(it, process) }
            }
        }
        repeat(REQUESTS_PER_TICK) { number ->
            val request = slotRequest(number.toLong(), deadline = process.local() + 1.milliseconds)
            process.route(RouterMessage.Acquire(Ticket(ticks * 10L + number), request))
        }
        val ready = process.undispatched.filter { random.nextInt(10) > 0 }
        process.undispatched.removeAll(ready)
        ready.forEach { dispatch(process, it) }
    }

    private fun GatewayProcess.isReachable() = !isIsolated && !isFrozen

    private fun hearPlatform(process: GatewayProcess) {
        val requestedAt = now - random.nextInt(2000).milliseconds
        // An outdated replica may answer with an earlier state. A node that has no higher version can't tell.
        val outdated = controls.random(random).second
            .takeIf { random.nextInt(20) == 0 && !it.versions().covers(process.memory.control.versions()) }
        val control = outdated ?: controlAt(requestedAt)
        val asked = process.local(requestedAt)
        process.deliver(Duration.ZERO) {
            process.learn(ControlMessage.ControlHeard(control.bundle, control.overrides, asked))
        }
        val truth = controlAt(requestedAt).leaving
        val vms = (0 until GROUPS).flatMap(::vmsOf).map { ListedVm(it, truth.version.value, it in truth.vms) }
        process.deliver(Duration.ZERO) { process.learn(ControlMessage.VmsHeard(vms, complete = true, asked)) }
    }

    private fun gossip(process: GatewayProcess) {
        val partner = processes[(processes.indexOf(process) + 1 + ticks % processes.size) % processes.size]
        if (partner == process || !partner.isReachable()) return
        val stamp = partner.memory.view(settings.view).stamp(partner.local()) ?: return
        val requestedAt = process.local()
        process.deliver(Duration.ZERO) {
            val effects = process.learn(ControlMessage.StampHeard(partner.name, stamp, requestedAt))
            if (effects.any { it is ControlEffect.AskPeer }) answer(partner, process)
        }
        val roster = process.memory.control.bundle?.bundle?.gateways.orEmpty().map { it.gateway }.toSet()
        val reached = processes.filter { it.isReachable() }.map { it.name }.toSet() intersect roster
        val isMajority = reached.size * 2 > roster.size
        val message = if (isMajority) ControlMessage.MajorityReachable(requestedAt) else ControlMessage.MajorityLost
        process.deliver(Duration.ZERO) { process.learn(message) }
    }

    private fun answer(from: GatewayProcess, to: GatewayProcess) {
        val control = from.memory.control
        val requestedAt = to.local()
        to.deliver(Duration.ZERO) { to.learn(ControlMessage.PeerState(from.name, control, requestedAt)) }
    }

    private fun hearStatus(process: GatewayProcess, group: Int) {
        val publishedAt = now - random.nextInt(if (random.nextInt(10) == 0) 12_000 else 2_000).milliseconds
        val seenAt = publishedAt - 700.milliseconds
        val engine = engines[group].last { it.startedAt <= seenAt || it.number == 1 }
        val readiness = if (seenAt >= engine.readyAt) GroupReadiness.READY else GroupReadiness.LOADING
        val readyFor = (seenAt - engine.readyAt).coerceAtLeast(Duration.ZERO)
        val status = statusOf(group, engine.boot, readyFor, engine.generation, readiness)
        val observer = "controller-${random.nextInt(2)}"
        val zone = zoneStatus(group, publishedAt.inWholeMilliseconds, status, observer)
        val local = process.local(publishedAt)
        process.deliver(Duration.ZERO) {
            process.newestStatus.merge(status.group.value, publishedAt to ZoneStatusOfGroup(group, zone)) { old, new ->
                if (new.first > old.first) new else old
            }
            process.route(RouterMessage.StatusReceived(zone, local))
        }
    }

    private fun dispatch(process: GatewayProcess, slot: Slot) {
        if (!process.state.mayDispatch(slot.id, process.local())) return process.release(slot.id, SlotResult.Unused)
        val group = slot.group!!.value.substringAfter('-').toInt()
        dispatched++
        assertStatusAllows(process, slot)
        assertControlAllows(process, group)
        val engine = engines[group].last()
        val isRunning = flights.filter { it.at == engine }
        when {
            now < engine.readyAt || slot.generation != engine.generation ->
                process.release(slot.id, SlotResult.Rejected(409, null))
            isOverloaded(engine, isRunning.size) && random.nextInt(3) == 0 -> {
                engine.toldCold[process] = engine.coldAt!!
                process.release(slot.id, SlotResult.Rejected(503, engine.boot))
            }
            else -> {
                val until = now + listOf(1.seconds, 20.seconds, settings.view.maxRequestDuration).random(random)
                flights += Flight(process, slot, engine, until, engine.toldCold[process])
                assertWithinLimits(engine)
            }
        }
    }

    private fun isOverloaded(engine: Incarnation, running: Int) =
        engine.coldAt?.let { running >= limits.at(now - it) } ?: false

    private fun assertWithinLimits(engine: Incarnation) {
        val running = flights.filter { it.at == engine }
        val limit = limits.at(now - engine.readyAt)
        assertTrue(running.size <= limit, "${running.size} requests at ${engine.boot}, which bears $limit, at $now")
        val coldAt = engine.coldAt ?: return
        val knowing = running.count { it.knownColdAt == coldAt }
        val coldLimit = limits.at(now - coldAt)
        assertTrue(knowing <= coldLimit, "$knowing requests at ${engine.boot}, known to be cold and to bear $coldLimit")
    }

    /** The newest status that reached the process must be ready, of the slot's generation and younger than 8 s. */
    private fun assertStatusAllows(process: GatewayProcess, slot: Slot) {
        val (publishedAt, held) = process.newestStatus.getValue(slot.group!!.value)
        val status = held.status.groups.single()
        assertTrue(
            status.readiness == GroupReadiness.READY &&
                status.generation.value == slot.generation &&
                now - publishedAt < settings.statusLifetime,
            "${slot.group} of ${slot.generation} was used at $now on $status of $publishedAt",
        )
    }

    /** Some control state in force within the last 5 s must have allowed the group. */
    private fun assertControlAllows(process: GatewayProcess, group: Int) {
        val since = now - settings.view.viewLifetime
        val inForce = controls.filter { it.first > since }.map { it.second } + controlAt(since)
        val allowed = inForce.any { state -> state.allows(zoneOf(group), group) }
        assertTrue(
            allowed,
            "${process.name} used group $group at $now against ${inForce.last().overrides} ${inForce.last().leaving}",
        )
    }

    private fun ControlState.allows(zone: AvailabilityZone, group: Int): Boolean = zone !in overrides.zonesOut &&
        vmsOf(group).none { it in overrides.drainedVms || it in leaving.vms } &&
        BackendServer(vmsOf(group).first().value) !in overrides.drainedServers

    companion object {
        const val GROUPS = 3
        const val REQUESTS_PER_TICK = 4
    }
}
