package redwingcross.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.command.parse
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlin.system.exitProcess

private class RedwingcrossCommand : SuspendingCliktCommand("redwingcross") {
    private val platform by option("--platform", help = "HTTP base URLs of the platform, separated by commas.")
        .default("http://127.0.0.1:7000")
    private val operator by option("--operator", help = "Operator name recorded with each change.").default("operator")
    private val output by option("--output", help = "Format of the report.").choice("text", "json").default("text")

    init {
        context { autoEnvvarPrefix = "REDWINGCROSS" }
    }

    override fun help(context: Context): String =
        "Operate redwingcross. Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 outcome unknown."

    override suspend fun run() {
        currentContext.obj = OperatorSession(operator, platform.split(',').map(String::trim), output == "json")
    }
}

/** Entry point of the operator command. An invalid command line ends with [ExitCode.BAD_INPUT]. */
suspend fun main(arguments: Array<String>) {
    val command = operatorCommand()
    try {
        command.parse(arguments)
    } catch (error: UsageError) {
        command.echoFormattedHelp(error)
        exitProcess(ExitCode.BAD_INPUT.code)
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        exitProcess(error.statusCode)
    }
}

private fun operatorCommand(): SuspendingCliktCommand = RedwingcrossCommand()
    .subcommands(
        bundleCommands(),
        zoneCommands(),
        vmCommands(),
        serverCommands(),
        GroupsCommand(),
        CustomersCommand(),
        StateCommand(),
    )
