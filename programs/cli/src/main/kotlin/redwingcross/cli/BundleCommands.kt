package redwingcross.cli

import com.github.ajalt.clikt.command.SuspendingNoOpCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import redwingcross.request.Checked
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.readBundle
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.operation.Difference
import redwingcross.version.operation.OperationResult
import redwingcross.version.operation.Proposal
import redwingcross.version.operation.ProposalId
import redwingcross.version.operation.bundleDifferences
import redwingcross.version.operation.bundleDigest
import redwingcross.version.operation.rollOut
import redwingcross.version.operation.signOff
import java.io.File
import java.io.IOException

/** `redwingcross bundle`: checks a bundle file and takes it through proposal and sign-off to roll-out. */
internal fun bundleCommands() = object : SuspendingNoOpCliktCommand("bundle") {
    override fun help(context: Context): String = "Check, propose, sign off and roll out bundles."
}.subcommands(
    CheckBundle(),
    ListEndpoints(),
    DiffBundle(),
    SubmitBundle(),
    SignOffBundle(),
    RollOutBundle(),
    BundleStatus(),
)

private sealed interface BundleFile {
    class Read(val bundle: Bundle) : BundleFile

    /** The file cannot be read or is not a valid bundle. */
    class Rejected(val report: CommandReport) : BundleFile
}

private fun readFile(path: String): BundleFile {
    val text = try {
        File(path).readText()
    } catch (failure: IOException) {
        return BundleFile.Rejected(CommandReport.badInput(listOf("$path: cannot be read: ${failure.message}")))
    }
    return when (val checked = readBundle(text)) {
        is Checked.Valid -> BundleFile.Read(checked.value)
        is Checked.Invalid -> BundleFile.Rejected(CommandReport.badInput(checked.findings.map { "$path: $it" }))
    }
}

/** A command whose argument is a bundle file; an invalid file ends it with [ExitCode.BAD_INPUT]. */
private abstract class BundleFileCommand(name: String, summary: String) : OperatorCommand(name, summary) {
    private val file by argument(help = "Bundle file in YAML or JSON.")

    override suspend fun execute(context: OperatorContext): CommandReport = when (val read = readFile(file)) {
        is BundleFile.Rejected -> read.report
        is BundleFile.Read -> execute(context, read.bundle)
    }

    protected abstract suspend fun execute(context: OperatorContext, bundle: Bundle): CommandReport
}

private class CheckBundle : BundleFileCommand("check", "Check a bundle file and print all findings.") {
    override suspend fun execute(context: OperatorContext, bundle: Bundle): CommandReport = CommandReport.done(
        "bundle ${bundle.name} is valid: ${bundle.zones.size} zones, ${bundle.vms.size} VMs, " +
            "${bundle.gateways.size} gateways, ${bundle.models.size} models, ${bundle.services.size} services, " +
            "${bundle.customers.size} customers",
        json = jsonOf("name" to bundle.name, "digest" to bundleDigest(bundle)),
    )
}

private class ListEndpoints : BundleFileCommand("endpoints", "List the zones and processes in a bundle file.") {
    override suspend fun execute(context: OperatorContext, bundle: Bundle): CommandReport {
        val engines = bundle.vms.map { "engine ${it.vm} ${it.engine} checksFencing=${it.checksFencing}" }
        val services = bundle.services.flatMap { it.instances }.map { "service ${it.server} ${it.endpoint}" }
        val gateways = bundle.gateways.map { "gateway ${it.gateway} ${it.zone} ${it.caller} ${it.peer}" }
        val zones = bundle.zones.map { "zone $it" }
        return CommandReport(ExitCode.DONE, zones + engines + services + gateways)
    }
}

private class DiffBundle : BundleFileCommand("diff", "Compare a bundle file with the bundle in force.") {
    override suspend fun execute(context: OperatorContext, bundle: Bundle): CommandReport =
        when (val current = context.acceptedBundle()) {
            is ReadResult.Failed -> CommandReport.failed(current.detail)
            is ReadResult.Value -> differenceReport(current.value?.bundle, bundle)
        }
}

private fun differenceReport(before: Bundle?, after: Bundle): CommandReport {
    val differences = bundleDifferences(before, after)
    val lines = differences.map { it.toString() }.ifEmpty { listOf("no difference") }
    return CommandReport(
        ExitCode.DONE,
        lines,
        Json.encodeToJsonElement(ListSerializer(Difference.serializer()), differences),
    )
}

private class SubmitBundle : BundleFileCommand("submit", "Propose a bundle file for sign-off.") {
    private val id by option("--id", help = "Name of the proposal; must not exist yet.").required()

    override suspend fun execute(context: OperatorContext, bundle: Bundle): CommandReport {
        val base = when (val current = context.acceptedBundle()) {
            is ReadResult.Failed -> return CommandReport.failed(current.detail)
            is ReadResult.Value -> current.value?.version
        }
        val proposalId = ProposalId(id)
        val digest = bundleDigest(bundle)
        val result = context.change(proposalKey(proposalId), Proposal.serializer()) { existing, nonce ->
            when {
                existing == null -> OperationResult.Write(
                    Proposal(proposalId, bundle, digest, base, context.operator, signOff = null, nonce),
                )
                existing.digest == digest && existing.base == base -> OperationResult.AlreadyDone
                else -> OperationResult.Conflict(
                    "proposal $proposalId already exists with different content, submitted by ${existing.submittedBy}",
                )
            }
        }
        return when (result) {
            is ChangeResult.Done, ChangeResult.AlreadyDone -> CommandReport.done(
                "proposal $proposalId submitted over ${base?.let { "version $it" } ?: "no version"}",
                json = jsonOf("proposal" to proposalId, "digest" to digest, "base" to base?.value),
            )
            else -> result.failureReport("proposal $proposalId")
        }
    }
}

private class SignOffBundle : OperatorCommand("sign-off", "Approve a proposal with its present content.") {
    private val id by argument(help = "Name of the proposal.")

    override suspend fun execute(context: OperatorContext): CommandReport {
        val proposalId = ProposalId(id)
        val result = context.change(proposalKey(proposalId), Proposal.serializer()) { existing, nonce ->
            existing?.let { signOff(it, context.operator, nonce) }
                ?: OperationResult.Conflict("proposal $proposalId does not exist")
        }
        return when (result) {
            is ChangeResult.Done, ChangeResult.AlreadyDone ->
                CommandReport.done("proposal $proposalId signed off by ${context.operator}")
            else -> result.failureReport("sign-off of $proposalId")
        }
    }
}

private class RollOutBundle : OperatorCommand("roll-out", "Put a signed-off proposal in force on all gateways.") {
    private val id by argument(help = "Name of the proposal.")

    override suspend fun execute(context: OperatorContext): CommandReport {
        val proposal = when (val read = context.proposal(ProposalId(id))) {
            is ReadResult.Failed -> return CommandReport.failed(read.detail)
            is ReadResult.Value -> read.value ?: return CommandReport.conflict("proposal $id does not exist")
        }
        val result = context.change(bundleKey, AcceptedBundle.serializer()) { current, nonce ->
            rollOut(current, proposal, nonce)
        }
        return when (result) {
            is ChangeResult.Done, ChangeResult.AlreadyDone -> reportAdoption(context, "bundle of proposal $id")
            is ChangeResult.Conflict -> conflictWithDifferences(context, proposal, result)
            else -> result.failureReport("roll-out of $id")
        }
    }

    private suspend fun conflictWithDifferences(
        context: OperatorContext,
        proposal: Proposal,
        conflict: ChangeResult.Conflict,
    ): CommandReport {
        val current = (context.acceptedBundle() as? ReadResult.Value)?.value
        val differences = bundleDifferences(current?.bundle, proposal.bundle).map { "  $it" }
        val lines = listOf(conflict.reason, "the proposal differs from the bundle in force by:") + differences
        return CommandReport(ExitCode.CONFLICT, lines)
    }
}

private class BundleStatus :
    OperatorCommand("status", "Show the version in force and which gateways have adopted it.") {
    override suspend fun execute(context: OperatorContext): CommandReport = reportAdoption(context, "bundle")
}
