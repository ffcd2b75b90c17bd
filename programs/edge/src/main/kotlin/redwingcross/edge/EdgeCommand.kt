package redwingcross.edge

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import redwingcross.platform.RequestFormat
import redwingcross.platform.SettingsFile
import redwingcross.process.edge.EdgeSettings
import redwingcross.process.edge.FeatureOverride
import redwingcross.process.settings.EXIT_BAD_INPUT
import redwingcross.request.Checked
import redwingcross.request.Finding
import java.io.IOException
import java.net.URI
import java.net.URISyntaxException
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Command line of `redwingcross-edge`. */
internal class EdgeCommand(private val environment: (String) -> String? = System::getenv) :
    CoreCliktCommand("redwingcross-edge") {
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
    private val liftedTrait by option(
        "--lift-block",
        help = "Lift the block of a part of prompts or of a request at all processes and exit; needs --at.",
        metavar = "id",
    )
    private val liftAddress by option(
        "--at",
        help = "Edge process that --lift-block tells; it tells the others. The port is its metrics port.",
        metavar = "ip:port",
    )
    private val features by option(
        "--features",
        help = "Features that are on: auto (the settings file decides), all, none or a comma-separated list. " +
            "Default: the value of $FEATURES_VARIABLE, or auto.",
        metavar = "list",
    )
    private val asJson by option("--json", help = "Print the state as JSON.").flag()
    private val checkOnly by option("--check-settings", help = "Check the settings file and exit.").flag()

    override fun help(context: Context): String = "Forwards requests of callers to back ends and forms serving groups."

    override fun run() {
        stateAddress?.let { return showState(it) }
        if (liftedTrait != null || liftAddress != null) return liftBlock(liftedTrait, liftAddress)
        val path = settingsFile ?: environment(SettingsFile.ENVIRONMENT_VARIABLE)
            ?: reject(listOf(Finding("--settings", "is required unless ${SettingsFile.ENVIRONMENT_VARIABLE} is set")))
        val readText = { Files.readString(Path.of(path)) }
        val text = try {
            readText()
        } catch (error: IOException) {
            reject(listOf(Finding(path, "could not be read: ${error.message}")))
        }
        val override = featureOverride()
        val decode = { source: String -> SettingsFile.decode(source).withFeatures(override) }
        val settings = when (val decoded = decode(text)) {
            is Checked.Invalid -> reject(decoded.findings)
            is Checked.Valid -> decoded.value
        }
        if (checkOnly) echo(settings.toString()) else EdgeProcess(settings, text, readText, decode).run()
    }

    private fun featureOverride(): FeatureOverride {
        val option = features
        val text = option ?: environment(FEATURES_VARIABLE) ?: return FeatureOverride.Automatic
        val place = if (option != null) "--features" else FEATURES_VARIABLE
        return when (val parsed = FeatureOverride.parse(text, place)) {
            is Checked.Invalid -> reject(parsed.findings)
            is Checked.Valid -> parsed.value
        }
    }

    private fun Checked<EdgeSettings>.withFeatures(override: FeatureOverride): Checked<EdgeSettings> = when (this) {
        is Checked.Invalid -> this
        is Checked.Valid -> Checked.Valid(value.copy(features = override.applyTo(value.features)))
    }

    private fun showState(address: String) {
        val text = call("--show-state", address) {
            HttpRequest.newBuilder(it.resolve(OperatorEndpoint.STATE_PATH))
        }.body()
        echo(if (asJson) text else EdgeState.fromJson(text).toText())
    }

    private fun liftBlock(trait: String?, address: String?) {
        if (trait == null) reject(listOf(Finding("--lift-block", "is required with --at")))
        if (address == null) reject(listOf(Finding("--at", "is required with --lift-block")))
        val id = RequestFormat.decodeTrait(trait)?.id
            ?: reject(listOf(Finding("--lift-block", "'$trait' is not the id of a part of prompts or of a request")))
        val response = call("--at", address) {
            HttpRequest.newBuilder(it.resolve("${OperatorEndpoint.LIFT_PATH}$id"))
                .POST(HttpRequest.BodyPublishers.noBody())
        }
        if (response.statusCode() != OK) reject(listOf(Finding("--lift-block", "$address: ${response.body()}")))
        echo(response.body())
    }

    private fun call(option: String, address: String, request: (URI) -> HttpRequest.Builder): HttpResponse<String> =
        try {
            val prepared = request(URI("http://$address")).timeout(RESPONSE_TIMEOUT.toJavaDuration()).build()
            HttpClient.newHttpClient().send(prepared, HttpResponse.BodyHandlers.ofString())
        } catch (error: IOException) {
            reject(listOf(Finding(option, "$address could not be reached: ${error.message}")))
        } catch (error: URISyntaxException) {
            reject(listOf(Finding(option, "'$address' is not an address of the form ip:port: ${error.message}")))
        } catch (error: IllegalArgumentException) {
            reject(listOf(Finding(option, "'$address' is not an address of the form ip:port: ${error.message}")))
        }

    private fun reject(findings: List<Finding>): Nothing {
        findings.forEach { echo(it.toString(), err = true) }
        throw ProgramResult(EXIT_BAD_INPUT)
    }

    private companion object {
        /** An edge process responds within milliseconds unless it hangs. */
        val RESPONSE_TIMEOUT = 3.seconds
        const val OK = 200
        const val FEATURES_VARIABLE = "REDWINGCROSS_EDGE_FEATURES"
    }
}
