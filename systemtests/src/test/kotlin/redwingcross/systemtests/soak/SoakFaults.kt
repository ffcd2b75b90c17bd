package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.FabricStandin
import redwingcross.systemtests.platform.LinkFault
import redwingcross.systemtests.platform.StoreFault
import kotlin.random.Random

/** Disturbs the processes, the store and the engines from outside; each fault ends by itself or with [healAll]. */
internal class SoakFaults(
    private val nodes: List<EdgeNode>,
    private val fabric: FabricStandin,
    private val random: Random,
    private val onLoop: (() -> Unit) -> Unit,
) {
    private class Due(val atMillis: Long, val action: () -> Unit)

    private val due = mutableListOf<Due>()
    private var crashes = 0

    /** What was done, in order. */
    val record = mutableListOf<String>()

    private val faults: List<Pair<String, (Long) -> Unit>> = listOf(
        "kill" to ::kill,
        "terminate" to ::terminate,
        "pause" to ::pause,
        "store link" to ::disturbStoreLink,
        "store" to ::disturbStore,
        "compact" to { _ -> onLoop(fabric.store::compact) },
        "engine crash" to { _ -> crashEngine() },
        "engine link" to ::disturbEngineLink,
        "answers lost" to ::loseAnswers,
    )

    /** Begins one fault, chosen at random. */
    fun inject(now: Long) {
        val (name, fault) = faults.random(random)
        record += "$now $name"
        fault(now)
    }

    /** Ends the faults whose time has come, and starts processes that have ended. */
    fun advance(now: Long) {
        val ready = due.filter { it.atMillis <= now }
        due.removeAll(ready)
        ready.forEach { it.action() }
        nodes.forEach(EdgeNode::start)
    }

    fun healAll() {
        due.forEach { it.action() }
        due.clear()
        nodes.forEach(EdgeNode::start)
    }

    private fun later(now: Long, range: IntRange, action: () -> Unit) {
        due += Due(now + random.nextInt(range.first, range.last), action)
    }

    private fun kill(now: Long) {
        // Many processes may be killed at the same moment.
        val victims = if (random.nextInt(4) == 0) nodes else listOf(nodes.random(random))
        victims.forEach { it.process?.kill() }
        record += "$now killed ${victims.joinToString { it.name }}"
    }

    private fun terminate(now: Long) {
        val node = nodes.random(random)
        val process = node.process ?: return
        if (process.isAlive) process.terminate()
        // A process that outlives its grace is killed, as the platform would.
        later(now, GRACE) { if (process.isAlive && node.process === process) process.kill() }
    }

    private fun pause(now: Long) {
        val process = nodes.random(random).process ?: return
        if (!process.isAlive) return
        process.pause()
        later(now, 300..2500) { if (process.isAlive) process.resume() }
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
        record += "$now link $fault"
        onLoop {
            set(fault)
            if (fault == LinkFault.REFUSED || fault == LinkFault.NONE) reset()
        }
        later(now, 300..3000) { onLoop { set(LinkFault.NONE) } }
    }

    private fun disturbStore(now: Long) {
        val fault = StoreFault.entries.random(random)
        val share = random.nextDouble(0.2, 1.0)
        val own = Random(random.nextLong())
        record += "$now store $fault"
        onLoop { fabric.store.fault = { if (own.nextDouble() < share) fault else StoreFault.NONE } }
        later(now, 300..2500) { onLoop { fabric.store.fault = { StoreFault.NONE } } }
    }

    private fun crashEngine() {
        val id = fabric.engines.keys.random(random)
        val replacement = fabric.engines.getValue(id).successor("$id-${++crashes}")
        onLoop { fabric.crash(id, replacement) }
    }

    private fun loseAnswers(now: Long) {
        val engine = fabric.engines.values.toList().random(random)
        onLoop { engine.losesAnswers = true }
        later(now, 300..2000) { onLoop { engine.losesAnswers = false } }
    }

    private companion object {
        /** `grace-s` of the settings is 5 s. */
        val GRACE = 5000..5200
    }
}
