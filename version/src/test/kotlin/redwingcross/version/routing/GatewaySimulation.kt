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

/** The engine process of group [group] between two restarts; [number] counts the starts. */
internal class Incarnation(
    val group: Int,
    val number: Int,
    val generation: Long,
    val startedAt: Duration,
    val readyAt: Duration,
) {
    val boot = "boot-$group-$number"
    var coldAt: Duration? = null

    /** The cold time ([coldAt]) that was last reported to each gateway process. */
    val reportedCold = mutableMapOf<GatewayProcess, Duration>()
}

/**
 * A request that runs at engine [at] until [until]. [reportedColdAt] is the cold time that had been reported to its
 * gateway when the gateway sent the request; null without a report.
 */
internal class InFlightRequest(
    val process: GatewayProcess,
    val slot: Slot,
    val at: Incarnation,
    val until: Duration,
    val reportedColdAt: Duration?,
)

/** Simulates gateways that run the production decisions, with the platform and the engines modelled as lists. */
internal class GatewaySimulation(
    val gatewayCount: Int,
    val settings: RouterSettings,
    val limits: CapacityLimits,
    seed: Long,
) {
    val random = Random(seed)
    var now = 1.hours
    var platformUp = true
    private val bundles = mutableListOf(bundleWith((0 until gatewayCount).toList()))
    private val controls = mutableListOf(now to ControlState(accepted(1, bundles.last())))
    private val engines = List(GROUPS) { mutableListOf(Incarnation(it, 1, 1, Duration.ZERO, now)) }
    val processes = (0 until gatewayCount).map { start(it) }.toMutableList()
    private val inFlight = mutableListOf<InFlightRequest>()
    private var ticks = 0
    var dispatched = 0
        private set

    private fun bundleWith(gateways: List<Int>): Bundle =
        bundleOf(gateways, GROUPS, limits.cold, limits.warm, limits.rampStep)

    private fun start(index: Int) = GatewayProcess(this, gatewayName(index), offset = random.nextInt(100).hours)

    fun controlAt(time: Duration): ControlState = controls.last { it.first <= time || it == controls.first() }.second

    /** Stores a change on the platform and sends it to one reachable gateway, as the operator's command does. */
    fun change(edit: ControlState.() -> ControlState) {
        if (!platformUp) return
        controls += now to controlAt(now).edit()
        processes.firstOrNull { !it.isIsolated && !it.isFrozen }
            ?.handleControl(ControlMessage.PeerStateReceived(gatewayName(0), controlAt(now), requestedAt = null))
    }

    fun changeGatewaySet(absent: Int) = change {
        val version = bundle!!.version.value + 1
        copy(
            bundle = accepted(
                version,
                bundleWith((0 until gatewayCount).filter { (it + absent) % 4 != 0 || absent == 0 }),
            ),
        )
    }

    fun changeOverrides(edit: Overrides.() -> Overrides) = change {
        copy(overrides = overrides.edit().copy(version = OverridesVersion(overrides.version.value + 1)))
    }

    fun toggleLeaving(group: Int) = change {
        val vm = vmsOf(group).last()
        val vms = if (vm in leaving.vms) leaving.vms - vm else leaving.vms + vm
        copy(leaving = LeavingVms(VmListVersion(leaving.version.value + 1), vms))
    }

    /** The latest process of gateway [index]. */
    fun processOf(index: Int) = processes.last { it.name == gatewayName(index % gatewayCount) }

    /**
     * Replaces the process by a new one; its requests continue at the engines. With [zombie], the old process keeps
     * running in isolation.
     */
    fun restart(process: GatewayProcess, zombie: Boolean) {
        if (zombie) process.isolatedUntil = Duration.INFINITE else processes -= process
        processes += GatewayProcess(this, process.name, offset = random.nextInt(100).hours)
    }

    fun restartEngine(group: Int) {
        val old = engines[group].last()
        // Loading the weights takes longer than a status is valid, so no gateway mistakes the new process for the old.
        val readyAt = now + settings.statusLifetime + random.nextInt(1, 12).seconds
        engines[group] += Incarnation(group, old.number + 1, old.generation + random.nextInt(2), now, readyAt)
        val broken = inFlight.filter { it.at == old }
        inFlight.removeAll(broken)
        broken.forEach { request ->
            request.process.deliver(random.nextInt(10).seconds) {
                request.process.release(request.slot.id, SlotResult.Failed("connection reset"))
            }
        }
    }

    fun turnCold(group: Int) {
        engines[group].last().coldAt = now
    }

    fun deliverReport(from: GatewayProcess, report: ColdReport) {
        val engine = engines.flatten().find { it.boot == report.incarnation.value } ?: return
        val coldAt = engine.coldAt ?: return
        engine.reportedCold[from] = coldAt
        processes.filter { it != from && !it.isIsolated }.forEach { process ->
            process.deliver(random.nextInt(20).seconds) {
                engine.reportedCold[process] = coldAt
                process.handleRouting(RouterMessage.ColdReported(report))
            }
        }
    }

    fun advance(time: Duration) = repeat((time / TICK).toInt()) { tick() }

    private fun tick() {
        now += TICK
        ticks++
        val ended = inFlight.filter { it.until <= now }
        inFlight.removeAll(ended)
        ended.forEach { request ->
            request.process.deliver(Duration.ZERO) {
                request.process.release(request.slot.id, SlotResult.Served(50.milliseconds, request.at.boot))
            }
        }
        processes.toList().filter { !it.isFrozen }.forEach(::run)
    }

    private fun run(process: GatewayProcess) {
        process.receiveDue()
        if (!process.isIsolated) {
            if (platformUp && now >= process.platformCutUntil && random.nextInt(3) > 0) receiveFromPlatform(process)
            gossip(process)
            engines.indices.forEach { receiveStatus(process, it) }
        }
        process.handleRouting(RouterMessage.Tick)
        process.handleControl(ControlMessage.Tick).forEach { effect ->
            if (effect is ControlEffect.RequestSeedPeerStates && !process.isIsolated) {
                processes.filter { it.isReachable() && it != process }.forEach { sendState(it, process) }
            }
        }
        repeat(REQUESTS_PER_TICK) { number ->
            val request = slotRequest(number.toLong(), deadline = process.local() + 1.milliseconds)
            process.handleRouting(RouterMessage.Acquire(Ticket(ticks * 10L + number), request))
        }
        val ready = process.undispatched.filter { random.nextInt(10) > 0 }
        process.undispatched.removeAll(ready)
        ready.forEach { dispatch(process, it) }
    }

    private fun GatewayProcess.isReachable() = !isIsolated && !isFrozen

    private fun receiveFromPlatform(process: GatewayProcess) {
        val requestedAt = now - random.nextInt(2000).milliseconds
        // An outdated replica may answer with an earlier state; a node without a higher version can't detect that.
        val outdated = controls.random(random).second
            .takeIf { random.nextInt(20) == 0 && !it.versions().covers(process.controlState.control.versions()) }
        val control = outdated ?: controlAt(requestedAt)
        val requestedLocally = process.local(requestedAt)
        process.deliver(Duration.ZERO) {
            process.handleControl(ControlMessage.ControlReceived(control.bundle, control.overrides, requestedLocally))
        }
        val actual = controlAt(requestedAt).leaving
        val vms = (0 until GROUPS).flatMap(::vmsOf).map { ListedVm(it, actual.version.value, it in actual.vms) }
        process.deliver(Duration.ZERO) {
            process.handleControl(ControlMessage.VmListReceived(vms, complete = true, requestedLocally))
        }
    }

    private fun gossip(process: GatewayProcess) {
        val partner = processes[(processes.indexOf(process) + 1 + ticks % processes.size) % processes.size]
        if (partner == process || !partner.isReachable()) return
        val stamp = partner.controlState.view(settings.view).stamp(partner.local()) ?: return
        val requestedAt = process.local()
        process.deliver(Duration.ZERO) {
            val effects = process.handleControl(ControlMessage.StampReceived(partner.name, stamp, requestedAt))
            if (effects.any { it is ControlEffect.RequestPeerState }) sendState(partner, process)
        }
        val gatewaySet = process.controlState.control.bundle?.bundle?.gateways.orEmpty().map { it.gateway }.toSet()
        val reached = processes.filter { it.isReachable() }.map { it.name }.toSet() intersect gatewaySet
        val isMajority = reached.size * 2 > gatewaySet.size
        val message = if (isMajority) ControlMessage.MajorityReachable(requestedAt) else ControlMessage.MajorityLost
        process.deliver(Duration.ZERO) { process.handleControl(message) }
    }

    private fun sendState(from: GatewayProcess, to: GatewayProcess) {
        val control = from.controlState.control
        val requestedAt = to.local()
        to.deliver(Duration.ZERO) {
            to.handleControl(ControlMessage.PeerStateReceived(from.name, control, requestedAt))
        }
    }

    private fun receiveStatus(process: GatewayProcess, group: Int) {
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
            process.handleRouting(RouterMessage.StatusReceived(zone, local))
        }
    }

    private fun dispatch(process: GatewayProcess, slot: Slot) {
        if (!process.state.canDispatch(slot.id, process.local())) return process.release(slot.id, SlotResult.Unused)
        val group = slot.group!!.value.substringAfter('-').toInt()
        dispatched++
        assertStatusAllows(process, slot)
        assertControlAllows(process, group)
        val engine = engines[group].last()
        val isRunning = inFlight.filter { it.at == engine }
        when {
            now < engine.readyAt || slot.generation != engine.generation ->
                process.release(slot.id, SlotResult.Rejected(409, null))
            isOverloaded(engine, isRunning.size) && random.nextInt(3) == 0 -> {
                engine.reportedCold[process] = engine.coldAt!!
                process.release(slot.id, SlotResult.Rejected(503, engine.boot))
            }
            else -> {
                val until = now + listOf(1.seconds, 20.seconds, settings.view.maxRequestDuration).random(random)
                inFlight += InFlightRequest(process, slot, engine, until, engine.reportedCold[process])
                assertWithinLimits(engine)
            }
        }
    }

    private fun isOverloaded(engine: Incarnation, running: Int) =
        engine.coldAt?.let { running >= limits.at(now - it) } ?: false

    private fun assertWithinLimits(engine: Incarnation) {
        val running = inFlight.filter { it.at == engine }
        val limit = limits.at(now - engine.readyAt)
        assertTrue(running.size <= limit, "${running.size} requests at ${engine.boot}, limit $limit, at $now")
        val coldAt = engine.coldAt ?: return
        val informed = running.count { it.reportedColdAt == coldAt }
        val coldLimit = limits.at(now - coldAt)
        assertTrue(informed <= coldLimit, "$informed requests at ${engine.boot}, reported cold, limit $coldLimit")
    }

    /** The newest status received by the process must be ready, of the slot's generation and younger than 8 s. */
    private fun assertStatusAllows(process: GatewayProcess, slot: Slot) {
        val (publishedAt, held) = process.newestStatus.getValue(slot.group!!.value)
        val status = held.status.groups.single()
        assertTrue(
            status.readiness == GroupReadiness.READY &&
                status.generation.value == slot.generation &&
                now - publishedAt < settings.statusLifetime,
            "${slot.group} of generation ${slot.generation} got a request at $now; status $status of $publishedAt",
        )
    }

    /** A control state in force within the last 5 s must allow requests to the group. */
    private fun assertControlAllows(process: GatewayProcess, group: Int) {
        val since = now - settings.view.viewLifetime
        val inForce = controls.filter { it.first > since }.map { it.second } + controlAt(since)
        val allowed = inForce.any { state -> state.allows(zoneOf(group), group) }
        assertTrue(
            allowed,
            "${process.name} used group $group at $now despite ${inForce.last().overrides} ${inForce.last().leaving}",
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
