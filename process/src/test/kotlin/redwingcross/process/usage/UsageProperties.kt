package redwingcross.process.usage

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against reports that differ, that count a request twice or in the wrong window, against holders that act at
 * the same time or too soon after each other, and against reports that are fixed and never sent.
 */
class UsageProperties {
    enum class Fault {
        NONE,
        PAUSE,
        END,
        POWER,
        CUT_OFF,
        STORE_DOWN,
        STORE_LOSES,
        CLOUD_BUSY,
        CLOUD_LOSES,
        DATAGRAMS,
        RESTORE,
    }

    data class Step(val fault: Fault, val process: Int, val amount: Int) {
        override fun toString() = "$fault($process, $amount)"
    }

    @Provide
    fun scripts(): Arbitrary<List<Step>> = scriptsOf(Fault.entries - Fault.RESTORE)

    @Provide
    fun restoreScripts(): Arbitrary<List<Step>> = scriptsOf(Fault.entries)

    private fun scriptsOf(faults: List<Fault>): Arbitrary<List<Step>> = Combinators.combine(
        Arbitraries.of(faults),
        Arbitraries.integers().between(0, 2),
        Arbitraries.integers().between(1, 16),
    ).`as`(::Step).list().ofMinSize(3).ofMaxSize(25)

    private fun UsageSimulation.apply(step: Step) {
        val time = 500.milliseconds * step.amount
        val process = processes[step.process]
        when (step.fault) {
            Fault.NONE -> Unit
            Fault.PAUSE -> process.pause(time)
            Fault.END -> process.restart(time)
            Fault.POWER -> loseAllPower()
            Fault.CUT_OFF -> process.cutOffUntil = now + time
            Fault.STORE_DOWN -> storeDownUntil = now + time
            Fault.STORE_LOSES -> storeLosesUntil = now + time
            Fault.CLOUD_BUSY -> cloudBusyUntil = now + time
            Fault.CLOUD_LOSES -> cloudLosesUntil = now + time
            Fault.DATAGRAMS -> datagramLoss = step.amount / 20.0
            Fault.RESTORE -> restoreStore(away = time * 0.5, age = 1.seconds * step.amount)
        }
        run(250.milliseconds * (step.amount % 8))
    }

    @Property(seed = "6101", tries = 300, shrinking = ShrinkingMode.OFF)
    fun `reports never differ, count nothing twice and come from one holder at a time`(
        @ForAll seed: Long,
        @ForAll("scripts") script: List<Step>,
    ) {
        val simulation = UsageSimulation(seed)
        simulation.processes[1].clockStep = 7200
        simulation.run(12.seconds)
        script.forEach { simulation.apply(it) }
        simulation.clearFaults()
        val calmFrom = simulation.now
        simulation.run(40.seconds)
        simulation.checkPowerLosses()
        simulation.checkStoredAreSent(calmFrom - 20.seconds)
        assertTrue(simulation.checkReported(calmFrom + 5.seconds) >= 3)
    }

    @Property(seed = "6103", tries = 60, shrinking = ShrinkingMode.OFF)
    fun `holders that follow each other quickly never act in turn`(@ForAll seed: Long) {
        val random = Random(seed)
        val simulation = UsageSimulation(seed)
        simulation.run(12.seconds)
        simulation.cloudBusyUntil = simulation.now + 30.seconds
        simulation.cloudLosesUntil = simulation.cloudBusyUntil
        while (simulation.now < simulation.cloudBusyUntil) {
            simulation.run(random.nextInt(4, 80).times(100).milliseconds)
            simulation.processes.forEach { it.release() }
        }
        simulation.run(30.seconds)
        assertTrue(simulation.checkReported(44.seconds) >= 2)
    }

    @Property(seed = "6104", tries = 60, shrinking = ShrinkingMode.OFF)
    fun `the end of the holder and another gateway loses no counts that the next in line has`(@ForAll seed: Long) {
        val simulation = UsageSimulation(seed)
        simulation.run(10.seconds)
        repeat(4) {
            val holder = simulation.processes.first { it.isHolder }
            val ending = simulation.processes - simulation.processes.first { it !== holder }
            ending.forEach { it.isIdle = true }
            simulation.run(1500.milliseconds)
            ending.forEach { it.restart(2.seconds) }
            ending.forEach { it.isIdle = false }
            simulation.run(13.seconds)
        }
        simulation.run(15.seconds)
        assertTrue(simulation.checkReported(5.seconds) >= 10)
    }

    @Property(seed = "6102", tries = 60, shrinking = ShrinkingMode.OFF)
    fun `planned restarts, takeovers and a clock that is set lose no request`(@ForAll seed: Long) {
        val simulation = UsageSimulation(seed)
        simulation.run(10.seconds)
        repeat(4) { round ->
            simulation.processes[round % 3].restartGracefully()
            simulation.processes[1].clockStep = 5000L * round
            simulation.cloudLosesUntil = simulation.now + 2.seconds
            simulation.run(13.seconds)
        }
        simulation.run(15.seconds)
        assertTrue(simulation.checkReported(5.seconds) >= 10)
    }

    @Property(seed = "6105", tries = 300, shrinking = ShrinkingMode.OFF)
    fun `reports never differ although the store loses some of them`(
        @ForAll seed: Long,
        @ForAll("restoreScripts") script: List<Step>,
    ) {
        val simulation = UsageSimulation(seed)
        simulation.run(12.seconds)
        simulation.restoreStore(away = 700.milliseconds, age = 9.seconds)
        script.forEach { simulation.apply(it) }
        simulation.clearFaults()
        val calmFrom = simulation.now + 4.seconds
        simulation.run(44.seconds)
        simulation.checkPowerLosses()
        assertTrue(simulation.checkReported(calmFrom + 5.seconds) >= 3)
    }

    @Property(seed = "6106", tries = 60, shrinking = ShrinkingMode.OFF)
    fun `a restore of the store loses no window but those that end while it is away`(@ForAll seed: Long) {
        val simulation = UsageSimulation(seed)
        simulation.run(10.seconds)
        repeat(4) { round ->
            simulation.restoreStore(away = 600.milliseconds * round, age = 9.seconds)
            simulation.run(14.seconds)
        }
        simulation.run(15.seconds)
        assertTrue(simulation.checkReported(5.seconds) >= 10)
    }
}
