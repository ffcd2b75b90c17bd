package redwingcross.systemtests.soak

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against requests that a stopping process still takes and cuts off at its end. Runs a real edge process whose
 * callers know no other address and stay until it is gone.
 */
class PlannedStopTest {
    private val deployment = SoakDeployment(Path.of("target", "soak", "planned-stop"), subnet = 253, nodeCount = 1)

    @Test
    fun `no request that has run is cut off when the only process stops`() {
        deployment.use {
            deployment.start()
            deployment.awaitServing()
            val node = deployment.nodes.single()
            val process = checkNotNull(node.process)
            SoakCallers({ listOf(node.callers) }, seed = 1).use { callers ->
                Thread.sleep(CALM_MILLIS)
                process.terminate()
                assertEquals(0, process.awaitExit(STOP_SECONDS))
                callers.close()
                val counts = callers.takeCounts()
                println("served=${counts.served} failures=${counts.failures}")
                assertTrue(counts.served > 0, "no request was served")
                deployment.onLoop {
                    val cutOff = callers.brokenOff.filter { it in deployment.fabric.runs }
                    assertEquals(emptyList(), cutOff, "requests that ran and got no answer")
                    val untrueRefusals = callers.refusals.filter { it.attempt in deployment.fabric.runs }
                    assertEquals(emptyList(), untrueRefusals, "requests that ran and were refused as not run")
                    assertEquals(emptyList(), deployment.fabric.findings)
                }
                assertEquals(emptyList(), callers.findings + deployment.exceptions())
            }
        }
    }

    private companion object {
        /** Long enough that the process has seen how long requests take. */
        const val CALM_MILLIS = 2_000L

        /** `grace-s` in the settings, 5 s, after which the platform kills a process, and the end of its JVM. */
        const val STOP_SECONDS = 6L
    }
}
