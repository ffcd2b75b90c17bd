package redwingcross.systemtests

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs one of the system's programs in a separate process, with the class path of the tests. */
internal class ProgramProcess(
    mainClass: String,
    name: String,
    logs: Path,
    arguments: List<String>,
    memoryOptions: List<String> = listOf("-Xmx192m"),
) : AutoCloseable {
    /** Combined standard output and standard error of the program. */
    val log: File = logs.resolve("$name.log").toFile()

    private val process: Process = ProcessBuilder(
        listOf(java) + memoryOptions + listOf(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            classPath,
            mainClass,
        ) + arguments,
    ).redirectErrorStream(true).redirectOutput(log).start()

    val isAlive: Boolean get() = process.isAlive

    /** CPU time used by the process in seconds, or NaN if the platform does not report it. */
    fun processorTime(): Double =
        process.toHandle().info().totalCpuDuration().map { it.toNanos() / 1e9 }.orElse(Double.NaN)

    /** Waits up to [seconds] for the program to exit; returns its exit code, or null if it is still running. */
    fun awaitExit(seconds: Long): Int? = if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    fun terminate() = signal("TERM")

    fun reload() = signal("HUP")

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    override fun close() = kill()

    private fun signal(name: String) {
        val sent = ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
        check(sent == 0) { "cannot send signal $name to process ${process.pid()}" }
    }

    companion object {
        private val java = ProcessHandle.current().info().command().orElse("java")
        private val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
    }
}
