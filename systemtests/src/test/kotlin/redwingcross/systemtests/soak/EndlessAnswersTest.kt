package redwingcross.systemtests.soak

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a process that runs out of memory because faulty engines send bytes without end. Runs a real edge
 * process; every model engine sends such bytes in place of reports and of responses to requests.
 */
class EndlessAnswersTest {
    private val deployment = SoakDeployment(Path.of("target", "soak", "endless-answers"), subnet = 254, nodeCount = 1)

    @Test
    fun `a process survives engines that send bytes without end and goes on serving other services`() {
        deployment.use {
            deployment.start()
            deployment.awaitServing()
            val process = checkNotNull(deployment.nodes.single().process)
            SoakCallers({ deployment.addresses }, seed = 1).use { callers ->
                setEndless()
                callers.takeCounts()
                Thread.sleep(FAULT_MILLIS)
                val counts = callers.takeCounts()
                callers.close()
                println("served=${counts.served} failures=${counts.failures}")
                assertTrue(process.isAlive, "the process has ended")
                assertTrue(counts.served >= MINIMUM_SERVED, "${counts.served} requests to other services were served")
                assertEquals(emptyList(), callers.findings + deployment.exceptions())
            }
            assertTrue("OutOfMemory" !in process.log.readText(), "the process ran out of memory")
        }
    }

    /** Guards against a prompt part that stays blocked because engines whose requests share it were given up. */
    @Test
    fun `requests are served again after engines have sent bytes without end`() {
        deployment.use {
            deployment.start()
            deployment.awaitServing()
            SoakCallers({ deployment.addresses }, seed = 1).use { callers ->
                setEndless(true)
                Thread.sleep(RECOVERABLE_FAULT_MILLIS)
                setEndless(false)
                Thread.sleep(RECOVERY_MILLIS)
                callers.takeCounts()
                Thread.sleep(CALM_MILLIS)
                val calm = callers.takeCounts()
                callers.close()
                assertTrue(
                    calm.failed <= calm.served * MAXIMUM_FAILED_RATIO && calm.served >= MINIMUM_SERVED,
                    "${calm.served} requests were served, failed: ${calm.failures}",
                )
            }
        }
    }

    private fun setEndless(isEndless: Boolean = true) = deployment.onLoop {
        deployment.fabric.engines.values.filter { it.entry.isModelEngine }.forEach { it.sendsWithoutEnd = isEndless }
    }

    private companion object {
        const val FAULT_MILLIS = 10_000L
        const val RECOVERABLE_FAULT_MILLIS = 6_000L

        /** `recovery-s` in the settings of the platform. */
        const val RECOVERY_MILLIS = 12_000L
        const val CALM_MILLIS = 3_000L

        /** As in the phase without faults of [SoakRun]. */
        const val MAXIMUM_FAILED_RATIO = 0.05

        /** As in the phase without faults of [SoakRun]; about half of the requests go to other services. */
        const val MINIMUM_SERVED = 60
    }
}
