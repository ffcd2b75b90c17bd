package redwingcross.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import kotlinx.serialization.json.Json

/** A subcommand that prints one report, as text or JSON, and ends with the exit code of the report. */
internal abstract class OperatorCommand(name: String, private val summary: String) : SuspendingCliktCommand(name) {
    private val session by requireObject<OperatorSession>()

    override fun help(context: Context): String = summary

    override suspend fun run() {
        val report = session.use { execute(it) }
        if (session.printsJson) {
            echo(prettyJson.encodeToString(report.toJson()))
        } else {
            report.lines.forEach { echo(it, err = report.exit != ExitCode.DONE) }
        }
        if (report.exit != ExitCode.DONE) throw ProgramResult(report.exit.code)
    }

    /** Runs the command and returns its report. */
    protected abstract suspend fun execute(context: OperatorContext): CommandReport

    private companion object {
        val prettyJson = Json { prettyPrint = true }
    }
}
