package redwingcross.edge

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import redwingcross.platform.SettingsFile
import redwingcross.process.settings.EXIT_BAD_INPUT
import redwingcross.request.Checked
import redwingcross.request.Finding
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Command line of `redwingcross-edge`. */
internal class EdgeCommand(private val environment: (String) -> String? = System::getenv) :
    CliktCommand("redwingcross-edge") {
    private val settingsFile by option(
        "--settings",
        help = "Path of the settings file. Default: the value of ${SettingsFile.ENVIRONMENT_VARIABLE}.",
        metavar = "path",
    )
    private val stateAddress by option(
        "--show-state",
        help = "Print the state of the edge process at this address and exit. The port is its metrics port.",
        metavar = "ip:port",
    )
    private val asJson by option("--json", help = "Print the state as JSON.").flag()
    private val checkOnly by option("--check-settings", help = "Check the settings file and exit.").flag()

    override fun help(context: Context): String = "Forwards requests of callers to back ends and forms serving groups."

    override fun run() {
        stateAddress?.let { return showState(it) }
        val path = settingsFile ?: environment(SettingsFile.ENVIRONMENT_VARIABLE)
            ?: reject(listOf(Finding("--settings", "is required unless ${SettingsFile.ENVIRONMENT_VARIABLE} is set")))
        val readText = { Files.readString(Path.of(path)) }
        val text = try {
            readText()
        } catch (error: IOException) {
            reject(listOf(Finding(path, "could not be read: ${error.message}")))
        }
        val settings = when (val decoded = SettingsFile.decode(text)) {
            is Checked.Invalid -> reject(decoded.findings)
            is Checked.Valid -> decoded.value
        }
        if (checkOnly) echo(settings.toString()) else EdgeProcess(settings, text, readText).run()
    }

    private fun showState(address: String) {
        val request = HttpRequest.newBuilder(URI("http://$address${EdgeMetrics.STATE_PATH}"))
            .timeout(STATE_TIMEOUT.toJavaDuration()).build()
        val text = try {
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body()
        } catch (error: IOException) {
            reject(listOf(Finding("--show-state", "$address could not be reached: ${error.message}")))
        }
        echo(if (asJson) text else EdgeState.fromJson(text).toText())
    }

    private fun reject(findings: List<Finding>): Nothing {
        findings.forEach { echo(it.toString(), err = true) }
        throw ProgramResult(EXIT_BAD_INPUT)
    }

    private companion object {
        /** An edge process responds within milliseconds unless it hangs. */
        val STATE_TIMEOUT = 3.seconds
    }
}
