package redwingcross.systemtests.soak

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Result of the run with one seed; [faults] lists the injected faults. */
internal class SoakResult(val seed: Long, val findings: List<String>, val summary: String, val faults: List<String>)

/** One soak run: a phase with faults of the mix that [choose] returns, a recovery phase and a phase without faults. */
internal class SoakRun(private val seed: Long, folder: Path, private val choose: (SoakFaults) -> SoakFaultMix) :
    AutoCloseable {
    private val random = Random(seed)
    private val deployment = SoakDeployment(folder.resolve("seed-$seed"), 1 + seed.mod(SUBNETS), NODES)
    private val fabric = deployment.fabric
    private val operator = SoakOperator({ deployment.configure(change = it) }, deployment::rewriteConfiguration)
    private val faults = SoakFaults(deployment.nodes, fabric, random, deployment::onLoop, operator)
    private val callerAddresses = deployment.nodes.map(EdgeNode::callers)
    private val startedAt = System.nanoTime()

    private fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)

    fun run(): SoakResult {
        deployment.start()
        val startDeadline = now() + START_MILLIS
        while (now() < startDeadline && !deployment.isServing()) step()
        val mix = choose(faults)
        val kept = if (mix.hasKeptConnections) KeptConnectionCallers(callerAddresses, seed) else null
        SoakCallers({ deployment.addresses }, seed).use { callers ->
            injectFaults(mix)
            stepFor(mix.recoveryMillis)
            val faulty = callers.takeCounts()
            deployment.onLoop(fabric.lastServiceByRoute::clear)
            stepFor(FAULT_FREE_MILLIS)
            val calm = callers.takeCounts()
            callers.close()
            kept?.close()
            val findings = callers.findings.toMutableList()
            val isUnrecovered = calm.failed > calm.served * MAX_FAILED_RATIO || calm.served < MIN_SERVED
            if (isUnrecovered) {
                findings += "RECOVER: ${calm.served} served, failed in the phase without faults: ${calm.failures}"
            }
            deployment.onLoop {
                findings += fabric.findings + violations(callers.bookings, callers.refusals)
                kept?.let { findings += it.findings + violations(it.bookings, it.refusals) + unanswered(it) }
            }
            if (mix.isSound) findings += callers.lostEarly.map(::describeLost)
            findings += deployment.exceptions()
            val summary = "seed=$seed faults_served=${faulty.served} faults_failed=${faulty.failed} " +
                "calm_served=${calm.served} calm_failed=${calm.failed} findings=${findings.size} " +
                "faults=${faults.injectedFaults.size}" +
                kept?.let { " kept=${it.counts.toSortedMap()} unanswered=${it.unanswered.size}" }.orEmpty()
            return SoakResult(seed, findings, summary, faults.injectedFaults)
        }
    }

    private fun injectFaults(mix: SoakFaultMix) {
        val faultsUntil = now() + FAULT_MILLIS
        while (now() < faultsUntil) {
            faults.inject(mix, now())
            if (random.nextInt(3) == 0) {
                val service = "app-${'a' + random.nextInt(2)}"
                deployment.configure(random.nextInt(1, 4)) { it.copy(statusService = service) }
            }
            stepFor(mix.pauseMillis.random(random))
        }
        faults.healAll()
        deployment.configure { it.copy(statusService = "app-a") }
    }

    private fun stepFor(millis: Long) {
        val end = now() + millis
        while (now() < end) step()
    }

    private fun step() {
        faults.advance(now())
        deployment.refreshAddresses()
        Thread.sleep(STEP_MILLIS)
    }

    /** Compares the requests that the engines ran with the responses that callers received. */
    private fun violations(bookings: Collection<String>, refusals: Collection<Refusal>): List<String> {
        val twice = bookings.filter { (fabric.runs[it] ?: 0) > 1 }
            .map { "TWICE: booking $it ran ${fabric.runs[it]} times" }
        val atMostOnce = bookings.toSet()
        val refused = refusals.filter { it.attempt in fabric.runs && it.attempt in atMostOnce }
            .map { "REFUSED: booking ${it.attempt} ran and was answered ${it.status}" }
        val stale = fabric.lastServiceByRoute.filter { (route, service) -> route == "/status" && service != "app-a" }
            .map { "CONFIG: ${it.key} still goes to ${it.value}" }
        return twice + refused + stale
    }

    private fun describeLost(lost: LostAnswer) =
        "LOST: ${lost.attempt} ${lost.outcome}, ran: ${lost.attempt in fabric.runs}"

    /** Requests whose connection ended without a response, and not because the request and the close crossed. */
    private fun unanswered(kept: KeptConnectionCallers) = kept.unanswered
        .filter { it.attempt in fabric.runs || it.ageMillis > LONGEST_CROSSING_MILLIS }
        .map { "UNANSWERED: ${it.attempt} after ${it.ageMillis} ms, ran: ${it.attempt in fabric.runs}" }

    override fun close() = deployment.close()

    companion object {
        private const val NODES = 4
        private const val SUBNETS = 250
        private const val START_MILLIS = 15_000L
        private const val FAULT_MILLIS = 8_000L

        /**
         * `recovery-s` in the settings, 12 s: within it processes restart, another process takes over the controller
         * role and lost groups are formed again.
         */
        const val RECOVERY_MILLIS = 12_000L

        /** A request that is sent this long before its connection ends has reached the edge. */
        private const val LONGEST_CROSSING_MILLIS = 200L
        private const val FAULT_FREE_MILLIS = 3_000L
        private const val STEP_MILLIS = 50L

        /** Without faults, only requests that were sent before the phase may fail. */
        private const val MAX_FAILED_RATIO = 0.05

        /** Twelve callers send about ten times as many requests in the phase without faults. */
        private const val MIN_SERVED = 60
    }
}
