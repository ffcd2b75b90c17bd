package redwingcross.process.gossip

import kotlinx.coroutines.delay
import redwingcross.process.membership.log2
import redwingcross.request.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Test oracle that tracks the true state of the simulation and compares the views of the processes with it each second.
 */
internal class PeerSimulationOracle(private val simulation: PeerSimulation, private val names: List<ProcessName>) {
    private val gateways = names.filter { it.value.startsWith("gateway") }
    private val resumeAt = HashMap<ProcessName, Duration>()

    /** Time at which each process last started, stopped, resumed or changed sides of a partition. */
    private val changedAt = HashMap<ProcessName, Duration>()

    /** Time at which any process last stopped or the partition last changed. */
    private var connectivityChangedAt = Duration.ZERO
    private var version = 0L
    private var isPlatformReachable = true

    private val rounds = 3 * log2(names.size + 1)

    /** Time within which all processes detect a death: a probe by any member, the suspicion and its propagation. */
    private val detectionBound = (minOf(2 * names.size, 10) + 1).seconds + 3.seconds + 500.milliseconds * rounds

    /**
     * Time within which all processes list a reachable one again: two rejoin and sync periods, a refutation and its
     * propagation.
     */
    private val rejoinBound = 10.seconds + 20.seconds + 3.seconds + 500.milliseconds * rounds

    suspend fun start() {
        names.forEach { startProcess(it) }
        advance(rejoinBound)
    }

    private suspend fun startProcess(name: ProcessName) {
        val peer = simulation.start(name)
        changedAt[name] = simulation.now()
        peer.task.gatewaySetChanged(gateways)
    }

    suspend fun take(step: MembershipTaskProperties.Step) {
        when (step) {
            is MembershipTaskProperties.Step.Lose -> {
                simulation.loss = step.percent / 100.0
                simulation.delay = 1..step.delayMillis
            }
            is MembershipTaskProperties.Step.Pause -> {
                val name = nameOf(step.process)
                simulation.running[name]?.let {
                    it.dispatcher.isPaused = true
                    resumeAt[name] = simulation.now() + step.seconds.seconds
                }
            }
            is MembershipTaskProperties.Step.Partition -> partition { if (it < names.size * step.cut / 100) 1 else 0 }
            MembershipTaskProperties.Step.Heal -> partition { 0 }
            is MembershipTaskProperties.Step.Kill -> kill(nameOf(step.process))
            is MembershipTaskProperties.Step.Restart -> {
                kill(nameOf(step.process))
                startProcess(nameOf(step.process))
            }
            is MembershipTaskProperties.Step.Change -> {
                version++
                isPlatformReachable = !isPlatformReachable
                simulation.running[nameOf(step.process)]?.takeIf { !it.dispatcher.isPaused }?.confirm(version)
            }
        }
        advance(8.seconds)
    }

    private fun nameOf(process: Int) = names[process % names.size]

    private fun kill(name: ProcessName) {
        simulation.kill(name)
        connectivityChangedAt = simulation.now()
        resumeAt.remove(name)
        changedAt[name] = simulation.now()
    }

    private fun partition(sideOf: (Int) -> Int) {
        val sides = names.mapIndexed { index, name -> name to sideOf(index) }.toMap()
        simulation.side = sides::getValue
        connectivityChangedAt = simulation.now()
        names.forEach { changedAt[it] = simulation.now() }
    }

    suspend fun checkConvergence() {
        simulation.loss = 0.0
        simulation.delay = 1..3
        if (names.any { simulation.side(it) != 0 }) partition { 0 }
        resumeAt.keys.toList().forEach(::resume)
        advance(rejoinBound + 2.seconds)
        for (peer in simulation.running.values) {
            check(peer.control.overrides.version.value == newestRunning()) { "${peer.name} lacks the newest version" }
        }
        checkWithoutPlatform()
    }

    /** Checks the reported majority while the platform is unreachable, when processes depend on it. */
    private suspend fun checkWithoutPlatform() {
        isPlatformReachable = false
        advance(10.seconds)
        val isMajority = gateways.count { it in simulation.running } * 2 > gateways.size
        for (peer in simulation.running.values) {
            check(peer.view.isMajorityReachable(simulation.now()) == isMajority) {
                "${peer.name} reports a wrong reachability of the majority"
            }
        }
    }

    private fun newestRunning() = simulation.running.values.maxOf { it.control.overrides.version.value }

    private fun resume(name: ProcessName) {
        resumeAt.remove(name)
        changedAt[name] = simulation.now()
        simulation.running[name]?.dispatcher?.isPaused = false
    }

    suspend fun advance(time: Duration) {
        val end = simulation.now() + time
        while (simulation.now() < end) {
            resumeAt.filterValues { it <= simulation.now() }.keys.forEach(::resume)
            val unpaused = simulation.running.values.filter { !it.dispatcher.isPaused }
            unpaused.filter { !it.isGateway }.take(2).forEach { it.observe() }
            if (isPlatformReachable) unpaused.firstOrNull()?.let { it.confirm(it.control.overrides.version.value) }
            delay(1.seconds)
            simulation.failure?.let { throw it }
            simulation.running.values.filter { !it.dispatcher.isPaused }.forEach(::compare)
        }
    }

    private fun compare(peer: SimulatedPeer) {
        val now = simulation.now()
        check(!peer.isReplaced) { "${peer.name} was notified of a replacement that does not exist" }
        val present = peer.view.present().map { it.name }.toSet()
        for (name in names) {
            if (resumeAt.containsKey(name)) continue
            val isRunning = name in simulation.running && simulation.side(name) == simulation.side(peer.name)
            val since = now - maxOf(changedAt.getValue(name), changedAt.getValue(peer.name))
            if (isRunning) {
                check(since <= rejoinBound || name in present) { "${peer.name} does not list $name after $since" }
            } else if (name !in simulation.running && names.all { simulation.side(it) == 0 }) {
                check(since <= detectionBound || name !in present) { "${peer.name} still lists $name after $since" }
            }
        }
        val reachable = gateways.count { it in simulation.running && simulation.side(it) == simulation.side(peer.name) }
        if (reachable * 2 <= gateways.size && now - connectivityChangedAt > 5.seconds) {
            check(!peer.view.isMajorityReachable(now)) {
                "${peer.name} reports a majority with $reachable reachable gateways"
            }
        }
    }
}
