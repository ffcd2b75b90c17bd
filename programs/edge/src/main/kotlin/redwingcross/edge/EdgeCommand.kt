package redwingcross.edge

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import redwingcross.platform.SettingsFile
import redwingcross.process.edge.EdgeSettings
import redwingcross.process.settings.EXIT_BAD_INPUT
import redwingcross.request.Checked
import redwingcross.request.Finding
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Command line of `redwingcross-edge`. */
internal class EdgeCommand(private val environment: (String) -> String? = System::getenv) :
    CliktCommand("redwingcross-edge") {
    private val settingsFile by option(
        "--settings",
        help = "Path of the platform's settings file. Also ${SettingsFile.VARIABLE}.",
        metavar = "path",
    )
    private val checkOnly by option("--check-settings", help = "Check the settings file and exit.").flag()

    override fun help(context: Context): String = "Serves callers and forms serving groups on an entry VM."

    override fun run() {
        when (val settings = readSettings()) {
            is Checked.Invalid -> {
                settings.findings.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(EXIT_BAD_INPUT)
            }
            is Checked.Valid -> if (checkOnly) echo(settings.value.toString()) else EdgeProcess(settings.value).run()
        }
    }

    private fun readSettings(): Checked<EdgeSettings> {
        val path = settingsFile ?: environment(SettingsFile.VARIABLE)
            ?: return Checked.Invalid(listOf(Finding("--settings", "is required; or set ${SettingsFile.VARIABLE}")))
        return try {
            SettingsFile.decode(Files.readString(Path.of(path)))
        } catch (error: IOException) {
            Checked.Invalid(listOf(Finding(path, "can't be read: ${error.message}")))
        }
    }
}
