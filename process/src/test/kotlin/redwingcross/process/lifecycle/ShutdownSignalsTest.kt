package redwingcross.process.lifecycle

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import redwingcross.process.membership.ProcessRole
import java.io.BufferedReader
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a first signal that ends the process before it has drained, and a second one that is ignored. */
class ShutdownSignalsTest {
    private fun startProcess(inFlight: Int): Pair<Process, BufferedReader> {
        val java = ProcessHandle.current().info().command().orElseThrow()
        val process =
            ProcessBuilder(
                java,
                "-cp",
                System.getProperty("java.class.path"),
                "redwingcross.process.lifecycle.DrainingMainKt",
                inFlight.toString(),
            ).redirectErrorStream(true).start()
        val output = process.inputReader()
        assertEquals("started", output.readLine())
        return process to output
    }

    @Test
    fun `the first signal drains the process, which exits with 0`() {
        val (process, output) = startProcess(inFlight = 0)
        process.toHandle().destroy()

        assertTrue(process.waitFor(30, TimeUnit.SECONDS))
        assertEquals(EXIT_DRAINED, process.exitValue())
        assertEquals(listOf("leaving", "refusing", "left"), output.readLines().filter { "event=" !in it })
    }

    @Test
    fun `the second signal ends the process although a request is still in flight`() {
        val (process, output) = startProcess(inFlight = 1)
        process.toHandle().destroy()
        while (output.readLine() != "refusing") assertTrue(process.isAlive)
        process.toHandle().destroy()

        assertTrue(process.waitFor(30, TimeUnit.SECONDS))
        assertEquals(EXIT_INCOMPLETE, process.exitValue())
    }
}

/** Main function of a process that always reports [inFlight] requests in flight, and drains after a signal. */
internal fun runDrainingProcess(inFlight: Int): Unit = runBlocking {
    val settings = ShutdownSettings(addressLifetime = 100.milliseconds, announceMargin = Duration.ZERO)
    val actions =
        ShutdownActions(
            announceLeaving = { println("leaving") },
            stopAccepting = { println("refusing") },
            announceLeft = { println("left") },
            inFlight = { inFlight },
        )
    val task = ShutdownTask(ProcessRole.GATEWAY, actions, settings)
    task.installSignalHandlers()
    launch { task.run() }
    println("started")
    exitProcess(task.finished.await())
}
