package redwingcross.process.gossip

import kotlinx.coroutines.delay
import redwingcross.process.membership.log2
import redwingcross.request.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps what is true of the loop and compares the processes with it once a second. */
internal class LoopOracle(private val loop: PeerLoop, private val names: List<ProcessName>) {
    private val gateways = names.filter { it.value.startsWith("gateway") }
    private val resumeAt = HashMap<ProcessName, Duration>()

    /** When a process last started, stopped, paused or changed sides. */
    private val changedAt = HashMap<ProcessName, Duration>()

    /** When a process last stopped or sides changed. */
    private var dividedAt = Duration.ZERO
    private var version = 0L
    private var platform = true

    private val rounds = 3 * log2(names.size + 1)

    /** Every process notices a death: a probe by someone, the suspicion time, and the spread of the suspicion. */
    private val noticeBound = (minOf(2 * names.size, 10) + 1).seconds + 3.seconds + 500.milliseconds * rounds

    /** Every process finds a reachable one again: two rejoin and sync periods, a refutation and its spread. */
    private val returnBound = 10.seconds + 20.seconds + 3.seconds + 500.milliseconds * rounds

    suspend fun start() {
        names.forEach { startProcess(it) }
        advance(returnBound)
    }

    private suspend fun startProcess(name: ProcessName) {
        val peer = loop.start(name)
        changedAt[name] = loop.now()
        peer.task.gatewaySetChanged(gateways)
    }

    suspend fun take(step: MembershipTaskProperties.Step) {
        when (step) {
            is MembershipTaskProperties.Step.Lose -> {
                loop.loss = step.percent / 100.0
                loop.delay = 1..step.delayMillis
            }
            is MembershipTaskProperties.Step.Pause -> {
                val name = nameOf(step.process)
                loop.running[name]?.let {
                    it.dispatcher.isPaused = true
                    resumeAt[name] = loop.now() + step.seconds.seconds
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
                platform = !platform
                loop.running[nameOf(step.process)]?.takeIf { !it.dispatcher.isPaused }?.confirm(version)
            }
        }
        advance(8.seconds)
    }

    private fun nameOf(process: Int) = names[process % names.size]

    private fun kill(name: ProcessName) {
        loop.kill(name)
        dividedAt = loop.now()
        resumeAt.remove(name)
        changedAt[name] = loop.now()
    }

    private fun partition(sideOf: (Int) -> Int) {
        val sides = names.mapIndexed { index, name -> name to sideOf(index) }.toMap()
        loop.side = sides::getValue
        dividedAt = loop.now()
        names.forEach { changedAt[it] = loop.now() }
    }

    suspend fun converge() {
        loop.loss = 0.0
        loop.delay = 1..3
        if (names.any { loop.side(it) != 0 }) partition { 0 }
        resumeAt.keys.toList().forEach(::resume)
        advance(returnBound + 2.seconds)
        for (peer in loop.running.values) {
            check(peer.control.overrides.version.value == newestRunning()) { "${peer.name} lacks a version" }
        }
        loseThePlatform()
    }

    /** Without the platform, a process relies on the majority that it can prove. */
    private suspend fun loseThePlatform() {
        platform = false
        advance(10.seconds)
        val isMajority = gateways.count { it in loop.running } * 2 > gateways.size
        for (peer in loop.running.values) {
            check(peer.view.isMajorityReachable(loop.now()) == isMajority) {
                "${peer.name} is wrong about the majority"
            }
        }
    }

    private fun newestRunning() = loop.running.values.maxOf { it.control.overrides.version.value }

    private fun resume(name: ProcessName) {
        resumeAt.remove(name)
        changedAt[name] = loop.now()
        loop.running[name]?.dispatcher?.isPaused = false
    }

    suspend fun advance(time: Duration) {
        val end = loop.now() + time
        while (loop.now() < end) {
            resumeAt.filterValues { it <= loop.now() }.keys.forEach(::resume)
            val awake = loop.running.values.filter { !it.dispatcher.isPaused }
            awake.filter { !it.isGateway }.take(2).forEach { it.observe() }
            if (platform) awake.firstOrNull()?.let { it.confirm(it.control.overrides.version.value) }
            delay(1.seconds)
            loop.failure?.let { throw it }
            loop.running.values.filter { !it.dispatcher.isPaused }.forEach(::compare)
        }
    }

    private fun compare(peer: LoopPeer) {
        val now = loop.now()
        check(!peer.isReplaced) { "${peer.name} was told that it is replaced" }
        val present = peer.view.present().map { it.name }.toSet()
        for (name in names) {
            if (resumeAt.containsKey(name)) continue
            val isRunning = name in loop.running && loop.side(name) == loop.side(peer.name)
            val since = now - maxOf(changedAt.getValue(name), changedAt.getValue(peer.name))
            if (isRunning) {
                check(since <= returnBound || name in present) { "${peer.name} lists $name dead for $since" }
            } else if (name !in loop.running && names.all { loop.side(it) == 0 }) {
                check(since <= noticeBound || name !in present) { "${peer.name} lists dead $name for $since" }
            }
        }
        val reachable = gateways.count { it in loop.running && loop.side(it) == loop.side(peer.name) }
        if (reachable * 2 <= gateways.size && now - dividedAt > 5.seconds) {
            check(!peer.view.isMajorityReachable(now)) { "${peer.name} reports a majority of $reachable" }
        }
    }
}
