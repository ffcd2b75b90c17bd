package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.FabricStandin
import redwingcross.systemtests.platform.LinkFault
import redwingcross.systemtests.platform.StoreFault
import kotlin.random.Random

/** Injects faults into processes, links, the store and engines; each fault ends after a time or with [healAll]. */
internal class SoakFaults(
    private val nodes: List<EdgeNode>,
    private val fabric: FabricStandin,
    private val random: Random,
    private val onLoop: (() -> Unit) -> Unit,
) {
    private class ScheduledAction(val atMillis: Long, val action: () -> Unit)

    private val scheduled = mutableListOf<ScheduledAction>()
    private var crashes = 0

    /** Log of the injected faults, in order. */
    val injectedFaults = mutableListOf<String>()

    private val faults: List<Pair<String, (Long) -> Unit>> = listOf(
        "kill" to ::kill,
        "terminate" to ::terminate,
        "pause" to ::pause,
        "store link" to ::disturbStoreLink,
        "store" to ::disturbStore,
        "compact" to { _ -> onLoop(fabric.store::compact) },
        "engine crash" to { _ -> crashEngine() },
        "engine link" to ::disturbEngineLink,
        "answers lost" to ::dropResponses,
    )

    /** Injects one random fault. */
    fun inject(now: Long) {
        val (name, fault) = faults.random(random)
        injectedFaults += "$now $name"
        fault(now)
    }

    /** Ends the faults that are over at [now] and restarts processes that have exited. */
    fun advance(now: Long) {
        val ready = scheduled.filter { it.atMillis <= now }
        scheduled.removeAll(ready)
        ready.forEach { it.action() }
        nodes.forEach(EdgeNode::start)
    }

    /** Ends all faults and restarts processes that have exited. */
    fun healAll() {
        scheduled.forEach { it.action() }
        scheduled.clear()
        nodes.forEach(EdgeNode::start)
    }

    private fun schedule(now: Long, range: IntRange, action: () -> Unit) {
        scheduled += ScheduledAction(now + random.nextInt(range.first, range.last), action)
    }

    private fun kill(now: Long) {
        // In one of four cases all processes are killed at the same time.
        val targets = if (random.nextInt(4) == 0) nodes else listOf(nodes.random(random))
        targets.forEach { it.process?.kill() }
        injectedFaults += "$now killed ${targets.joinToString { it.name }}"
    }

    private fun terminate(now: Long) {
        val node = nodes.random(random)
        val process = node.process ?: return
        if (process.isAlive) process.terminate()
        // Like the platform, kill a process that is still running after its grace period.
        schedule(now, GRACE_PERIOD_MILLIS) { if (process.isAlive && node.process === process) process.kill() }
    }

    private fun pause(now: Long) {
        val process = nodes.random(random).process ?: return
        if (!process.isAlive) return
        process.pause()
        schedule(now, 300..2500) { if (process.isAlive) process.resume() }
    }

    private fun disturbStoreLink(now: Long) {
        val link = nodes.random(random).storeLink
        disturb(now, link::fault::set, link::reset)
    }

    private fun disturbEngineLink(now: Long) {
        val link = fabric.engines.values.toList().random(random).link
        disturb(now, link::fault::set, link::reset)
    }

    private fun disturb(now: Long, set: (LinkFault) -> Unit, reset: () -> Unit) {
        val fault = LinkFault.entries.random(random)
        injectedFaults += "$now link $fault"
        onLoop {
            set(fault)
            if (fault == LinkFault.REFUSED || fault == LinkFault.NONE) reset()
        }
        schedule(now, 300..3000) { onLoop { set(LinkFault.NONE) } }
    }

    private fun disturbStore(now: Long) {
        val fault = StoreFault.entries.random(random)
        val faultRatio = random.nextDouble(0.2, 1.0)
        val faultRandom = Random(random.nextLong())
        injectedFaults += "$now store $fault"
        onLoop { fabric.store.fault = { if (faultRandom.nextDouble() < faultRatio) fault else StoreFault.NONE } }
        schedule(now, 300..2500) { onLoop { fabric.store.fault = { StoreFault.NONE } } }
    }

    private fun crashEngine() {
        val id = fabric.engines.keys.random(random)
        val replacement = fabric.engines.getValue(id).createReplacement("$id-${++crashes}")
        onLoop { fabric.crash(id, replacement) }
    }

    private fun dropResponses(now: Long) {
        val engine = fabric.engines.values.toList().random(random)
        onLoop { engine.dropsResponses = true }
        schedule(now, 300..2000) { onLoop { engine.dropsResponses = false } }
    }

    private companion object {
        /** Starts at `grace-s` of the settings, which is 5 s. */
        val GRACE_PERIOD_MILLIS = 5000..5200
    }
}
