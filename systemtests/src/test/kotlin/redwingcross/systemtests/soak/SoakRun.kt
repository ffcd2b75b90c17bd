package redwingcross.systemtests.soak

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What one seed showed. */
internal class SoakResult(val seed: Long, val findings: List<String>, val summary: String, val faults: List<String>)

/** One run of the soak: a time of faults, a time to recover, a calm time. */
internal class SoakRun(private val seed: Long, folder: Path) : AutoCloseable {
    private val random = Random(seed)
    private val deployment = SoakDeployment(folder.resolve("seed-$seed"), 1 + seed.mod(SUBNETS), NODES)
    private val fabric = deployment.fabric
    private val faults = SoakFaults(deployment.nodes, fabric, random, deployment::onLoop)
    private val startedAt = System.nanoTime()

    private fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)

    fun run(): SoakResult {
        deployment.start()
        val startedBy = now() + START_MILLIS
        while (now() < startedBy && !deployment.isServing()) step()
        SoakCallers({ deployment.addresses }, seed).use { callers ->
            disturb()
            stepFor(RECOVERY_MILLIS)
            val (servedInFaults, failedInFaults) = callers.takeCounts()
            deployment.onLoop(fabric.lastService::clear)
            stepFor(CALM_MILLIS)
            val (served, failed) = callers.takeCounts()
            callers.close()
            val findings = callers.findings.toMutableList()
            val tooMany = failed > served * LARGEST_FAILED_SHARE || served < FEWEST_SERVED
            if (tooMany) findings += "RECOVER: $failed failed, $served served when calm"
            deployment.onLoop { findings += verdicts(callers) }
            findings += deployment.exceptions()
            val summary = "seed=$seed faults_served=$servedInFaults faults_failed=$failedInFaults " +
                "calm_served=$served calm_failed=$failed findings=${findings.size}"
            return SoakResult(seed, findings, summary, faults.record)
        }
    }

    private fun disturb() {
        val faultsUntil = now() + FAULT_MILLIS
        while (now() < faultsUntil) {
            faults.inject(now())
            if (random.nextInt(3) == 0) deployment.configure("app-${'a' + random.nextInt(2)}", random.nextInt(1, 4))
            stepFor(random.nextLong(200, 900))
        }
        faults.healAll()
        deployment.configure("app-a", steps = 1)
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

    /** What the engines saw, compared with what callers were told. */
    private fun verdicts(callers: SoakCallers): List<String> {
        val twice = callers.bookings.filter { (fabric.runs[it] ?: 0) > 1 }
            .map { "TWICE: booking $it ran ${fabric.runs[it]} times" }
        val refused = callers.refusals.filter { it.attempt in fabric.runs && it.attempt in callers.bookings }
            .map { "REFUSED: booking ${it.attempt} ran and was answered ${it.status}" }
        val stale = fabric.lastService.filter { (route, service) -> route == "/status" && service != "app-a" }
            .map { "CONFIG: ${it.key} still goes to ${it.value}" }
        return fabric.findings + twice + refused + stale
    }

    override fun close() = deployment.close()

    private companion object {
        const val NODES = 4
        const val SUBNETS = 250
        const val START_MILLIS = 15_000L
        const val FAULT_MILLIS = 8_000L

        /** Processes start, take the duties over and form what was lost within `recovery-s` of the settings, 12 s. */
        const val RECOVERY_MILLIS = 12_000L
        const val CALM_MILLIS = 3_000L
        const val STEP_MILLIS = 50L

        /** Nothing is disturbed in the calm time, so only requests that began before it may fail. */
        const val LARGEST_FAILED_SHARE = 0.05

        /** Twelve callers send ten times as many in the calm time. */
        const val FEWEST_SERVED = 60
    }
}
