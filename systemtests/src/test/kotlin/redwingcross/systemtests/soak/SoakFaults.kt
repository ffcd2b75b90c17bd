package redwingcross.systemtests.soak

import redwingcross.systemtests.platform.EngineStandin
import redwingcross.systemtests.platform.FabricStandin
import redwingcross.systemtests.platform.LinkFault
import redwingcross.systemtests.platform.StoreFault
import redwingcross.systemtests.platform.StoreStandin
import kotlin.random.Random

/** A kind of fault; [inject] starts one at the given time in ms. */
internal class SoakFault(val name: String, val inject: (Long) -> Unit)

/**
 * Kinds of faults of a run, and the time between two faults. If [isSound], the faults are events in which everything
 * works as it should, so that no caller may lose an answer.
 */
internal class SoakFaultMix(
    val pauseMillis: LongRange,
    vararg val faults: SoakFault,
    val isSound: Boolean = false,
    /** Whether callers that keep their connections send requests beside the others. */
    val hasKeptConnections: Boolean = false,
    /** Time after the last fault until the deployment has to serve without failures. */
    val recoveryMillis: Long = SoakRun.RECOVERY_MILLIS,
)

/** What the operator of a deployment does in a run. */
internal class SoakOperator(
    /** Writes a configuration that the given function makes of the latest one. */
    val configure: ((SoakConfiguration) -> SoakConfiguration) -> Unit,
    /** Writes the latest configuration again; called on the event loop of the stand-ins. */
    val rewriteConfiguration: () -> Unit,
)

/** Injects faults into processes, links, the store and engines; each fault ends after a time or with [healAll]. */
internal class SoakFaults(
    private val nodes: List<EdgeNode>,
    private val fabric: FabricStandin,
    private val random: Random,
    private val onLoop: (() -> Unit) -> Unit,
    private val operator: SoakOperator,
) {
    private class ScheduledAction(val atMillis: Long, val action: () -> Unit)

    private val scheduled = mutableListOf<ScheduledAction>()
    private var crashes = 0

    /** Log of the injected faults, in order. */
    val injectedFaults = mutableListOf<String>()

    /** Faults of every part of a deployment. A change of this mix changes the runs of all its seeds. */
    val independentFaults = SoakFaultMix(
        200L..899L,
        SoakFault("kill", ::kill),
        SoakFault("terminate", ::terminate),
        SoakFault("pause", ::pause),
        SoakFault("store link", ::disturbStoreLink),
        SoakFault("store", ::disturbStore),
        SoakFault("compact") { onLoop(fabric.store::compact) },
        SoakFault("engine crash") { crashEngine() },
        SoakFault("engine link", ::disturbEngineLink),
        SoakFault("answers lost", ::dropResponses),
    )

    private val lifeFaults = EngineLifeFaults(fabric, random, onLoop)

    /**
     * Engines that end together and are followed by others, while orders are late and controllers are killed. The
     * pauses are long enough for groups to be formed between two faults.
     */
    val engineLifeFaults = SoakFaultMix(
        1200L..2800L,
        SoakFault("addresses reused", ::reuseAddresses),
        SoakFault("addresses reused", ::reuseAddresses),
        SoakFault("engines restarted", ::restartEngines),
        SoakFault("late orders", ::delayOrders),
        SoakFault("kill", ::kill),
    )

    /** Engines that fall silent for a second or so and go on, beside changes of the configuration. */
    val soundEvents = SoakFaultMix(
        300L..1500L,
        SoakFault("silence", ::silenceEngines),
        SoakFault("silence", ::silenceEngines),
        SoakFault("idle time") { changeIdleTime() },
        isSound = true,
    )

    /** Changes of the configuration and of the settings in series, while processes stand still for a moment. */
    val configurationChanges = SoakFaultMix(
        50L..500L,
        SoakFault("change") { changeConfiguration() },
        SoakFault("change and pause", ::changeBesidePause),
        SoakFault("pause", ::pauseBriefly),
        SoakFault("reload") { reloadSettings() },
        isSound = true,
        hasKeptConnections = true,
        recoveryMillis = 2000L,
    )

    /** A store that comes back from older copies of its data, while processes and engines end. */
    val restoreFaults = SoakFaultMix(
        400L..1500L,
        SoakFault("restore", ::restoreStore),
        SoakFault("restore", ::restoreStore),
        SoakFault("kill", ::kill),
        SoakFault("pause", ::pause),
        SoakFault("store", ::disturbStore),
        SoakFault("engine crash") { crashEngine() },
    )

    /** Injects a random fault of [mix]. */
    fun inject(mix: SoakFaultMix, now: Long) {
        val fault = mix.faults.random(random)
        injectedFaults += "$now ${fault.name}"
        fault.inject(now)
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
        val link = randomEngine().link
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

    private fun restoreStore(now: Long) {
        lateinit var copy: StoreStandin.Copy
        onLoop { copy = fabric.store.Copy() }
        val rewriteMillis = random.nextLong(MAX_REWRITE_MILLIS)
        schedule(now, COPY_AGE_MILLIS) {
            injectedFaults += "restored from the copy of $now"
            onLoop { fabric.restoreStore(copy, rewriteMillis, operator.rewriteConfiguration) }
        }
    }

    private fun crashEngine() {
        val engine = randomEngine()
        val replacement = engine.createReplacement("${engine.id}-${++crashes}")
        onLoop { fabric.crash(engine.id, replacement) }
    }

    private fun dropResponses(now: Long) {
        val engine = randomEngine()
        onLoop { engine.dropsResponses = true }
        schedule(now, 300..2000) { onLoop { engine.dropsResponses = false } }
    }

    private fun silenceEngines(now: Long) {
        var silent = emptyList<EngineStandin>()
        val ratio = random.nextDouble(0.1, 1.0)
        onLoop {
            silent = fabric.engines.values.filter { random.nextDouble() < ratio }
            silent.forEach { it.isSilent = true }
        }
        injectedFaults += "$now silent ${silent.size} engines"
        schedule(now, SILENCE_MILLIS) { onLoop { silent.forEach { it.isSilent = false } } }
    }

    private fun changeIdleTime() {
        val millis = IDLE_TIMES_MILLIS.random(random)
        injectedFaults += "idle time $millis ms"
        operator.configure { it.copy(idleMillis = millis) }
    }

    private fun changeConfiguration() = operator.configure { old ->
        old.copy(
            idleMillis = IDLE_TIMES_MILLIS.random(random),
            bodyBytes = BODY_LIMITS.random(random),
            timeoutMillis = TIMEOUTS_MILLIS.random(random),
            furtherRoutes = FURTHER_ROUTES.random(random),
            hasFurtherKey = random.nextBoolean(),
        ).also { injectedFaults += "$it" }
    }

    private fun changeBesidePause(now: Long) {
        val isAfter = random.nextBoolean()
        if (isAfter) changeConfiguration()
        pauseBriefly(now)
        if (!isAfter) changeConfiguration()
    }

    private fun pauseBriefly(now: Long) {
        val count = random.nextInt(1, nodes.size + 1)
        val stopped = nodes.shuffled(random).take(count).mapNotNull { it.process }.filter { it.isAlive }
        stopped.forEach { it.pause() }
        schedule(now, SHORT_PAUSE_MILLIS) { stopped.forEach { if (it.isAlive) it.resume() } }
    }

    private fun reloadSettings() {
        val node = nodes.random(random)
        if (random.nextBoolean()) node.writeSettings(drainMillis = random.nextInt(1500, 2500))
        node.process?.reload()
    }

    private fun reuseAddresses(now: Long) {
        injectedFaults += "$now ${lifeFaults.reuseAddresses()}"
    }

    private fun restartEngines(now: Long) {
        injectedFaults += "$now ${lifeFaults.restartEngines()}"
    }

    private fun delayOrders(now: Long) {
        val delayedRatio = random.nextDouble(0.2, 0.8)
        val delayRandom = Random(random.nextLong())
        onLoop {
            fabric.orderDelayMillis =
                { if (delayRandom.nextDouble() < delayedRatio) delayRandom.nextLong(500, 5000) else 0 }
        }
        schedule(now, 300..2500) { onLoop { fabric.orderDelayMillis = { 0 } } }
    }

    private fun randomEngine(): EngineStandin {
        lateinit var engine: EngineStandin
        onLoop { engine = fabric.engines.values.toList().random(random) }
        return engine
    }

    private companion object {
        /** Starts at `grace-s` of the settings, which is 5 s. */
        val GRACE_PERIOD_MILLIS = 5000..5200

        val COPY_AGE_MILLIS = 500..4000

        /** The operator and the engines write again what a restore has lost within about two seconds. */
        const val MAX_REWRITE_MILLIS = 2000L

        /** A second or so, after which a sound engine goes on. */
        val SILENCE_MILLIS = 600..1600

        val SHORT_PAUSE_MILLIS = 200..1500
        val BODY_LIMITS = listOf(SoakConfiguration.ALLOWED_BODY_BYTES, SoakConfiguration.LARGEST_BODY_BYTES)

        /** Callers stop waiting after the shortest one. */
        val TIMEOUTS_MILLIS = listOf(3000L, 4000L, 6000L)
        val FURTHER_ROUTES = listOf(0, 1, 20, 300)

        /** Callers of the soak use a connection again within a part of the shortest one. */
        val IDLE_TIMES_MILLIS = listOf(2_000L, 4_000L, 15_000L)
    }
}
