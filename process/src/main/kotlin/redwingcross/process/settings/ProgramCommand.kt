package redwingcross.process.settings

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import redwingcross.request.Finding

/** Exit code of a program whose command line or settings are invalid; nothing was started. */
const val EXIT_BAD_INPUT: Int = 2

/**
 * Command line of a program. Each setting has a flag and an environment variable of the same name; the flag takes
 * precedence. If settings are invalid, all findings are printed together, and the program exits with [EXIT_BAD_INPUT]
 * before anything is started.
 */
abstract class ProgramCommand(
    name: String,
    private val summary: String,
    private val environment: (String) -> String? = System::getenv,
) : SuspendingCliktCommand(name) {
    private val settings = mutableListOf<Setting<*>>()
    private val printSettings by option("--print-settings", help = "Print every setting with its source and exit.")
        .flag()

    // Collects unknown flags, so that they are reported together with the other findings.
    private val unexpected by argument("arguments", help = "No argument is accepted.").multiple()

    override val treatUnknownOptionsAsArgs: Boolean = true

    override fun help(context: Context): String = summary

    /**
     * Declares a setting; it is required unless there is a [default]. The value of a [secret] setting is not printed.
     */
    protected fun <T : Any> setting(
        flag: String,
        help: String,
        kind: SettingKind<T>,
        default: String? = null,
        secret: Boolean = false,
    ): Setting<T> = Setting(flag, kind, default, secret).also { setting ->
        val defaultNote = default?.let { " Default: $it." }.orEmpty()
        val flagOption = option(flag, help = "$help Also ${setting.variable}.$defaultNote", metavar = "value")
        registerOption(flagOption)
        setting.readFlag = { flagOption.value }
        settings += setting
    }

    override suspend fun run() {
        val individualFindings = settings.flatMap { it.resolve(environment) } +
            unexpected.map { Finding(it.substringBefore('='), "is not a known flag") }
        val findings = individualFindings.ifEmpty { checkTogether() }
        if (findings.isNotEmpty()) {
            findings.forEach { echo(it.toString(), err = true) }
            throw ProgramResult(EXIT_BAD_INPUT)
        }
        if (printSettings) settings.forEach { echo(it.describe()) } else start()
    }

    /** Findings about the combination of settings that are valid individually; called only if all of them are. */
    protected open fun checkTogether(): List<Finding> = emptyList()

    /** Runs the program; called after all settings were checked. */
    protected abstract suspend fun start()
}
