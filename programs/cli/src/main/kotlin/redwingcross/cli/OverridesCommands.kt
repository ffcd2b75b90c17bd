package redwingcross.cli

import com.github.ajalt.clikt.command.SuspendingNoOpCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.NameIndex
import redwingcross.version.bundle.NameKind
import redwingcross.version.bundle.NameLookup
import redwingcross.version.control.Overrides
import redwingcross.version.operation.OverridesChange
import redwingcross.version.operation.changeOverrides

/** Turns an operator's name for something, in any scheme, into a change; or says why the name is wrong. */
private typealias NameChange = (Bundle, String) -> NamedChange

private sealed interface NamedChange {
    class Known(val change: OverridesChange) : NamedChange

    class Wrong(val detail: String) : NamedChange
}

internal fun zoneCommands() = group("zone", "Take availability zones out and return them.").subcommands(
    ChangeOverrides("take-out", "Give a zone no new work.", zoneChange { OverridesChange.TakeZoneOut(it) }),
    ChangeOverrides("return", "Give a zone work again.", zoneChange { OverridesChange.ReturnZone(it) }),
)

internal fun vmCommands() = group("vm", "Drain VMs of model engines and return them.").subcommands(
    ChangeOverrides(
        "retire",
        "Replace a VM in its group while it serves on.",
        vmChange {
            OverridesChange.RetireVm(it)
        },
    ),
    ChangeOverrides("drain", "Give a VM and its group no new work.", vmChange { OverridesChange.DrainVm(it) }),
    ChangeOverrides("return", "Let groups use a VM again.", vmChange { OverridesChange.ReturnVm(it) }),
)

internal fun serverCommands() = group("server", "Drain instances of plain services and return them.").subcommands(
    ChangeOverrides("drain", "Give an instance no new work.", serverChange { OverridesChange.DrainServer(it) }),
    ChangeOverrides("return", "Give an instance work again.", serverChange { OverridesChange.ReturnServer(it) }),
)

private fun group(name: String, summary: String) = object : SuspendingNoOpCliktCommand(name) {
    override fun help(context: Context): String = summary
}

private class ChangeOverrides(name: String, summary: String, private val named: NameChange) :
    OperatorCommand(name, summary) {
    private val target by argument("name", help = "Name in any scheme of the bundle.")

    override suspend fun execute(context: OperatorContext): CommandReport {
        val bundle = when (val read = context.accepted()) {
            is Reading.Failed -> return CommandReport.failed(read.detail)
            is Reading.Value -> read.value?.bundle ?: return CommandReport.conflict("no bundle is in force")
        }
        val change = when (val found = named(bundle, target)) {
            is NamedChange.Wrong -> return CommandReport.badInput(listOf("name: ${found.detail}"))
            is NamedChange.Known -> found.change
        }
        val result = context.change(overridesKey, Overrides.serializer()) { current, nonce ->
            changeOverrides(current ?: Overrides(), change, nonce)
        }
        return when (result) {
            is ChangeResult.Done, ChangeResult.AlreadyDone -> reportSpread(context, "$commandName $target")
            else -> result.problem("$commandName $target")
        }
    }
}

private fun zoneChange(change: (AvailabilityZone) -> OverridesChange): NameChange =
    lookup(NameKind.ZONE) { change(AvailabilityZone(it)) }

private fun vmChange(change: (Vm) -> OverridesChange): NameChange = lookup(NameKind.VM) { change(Vm(it)) }

private fun serverChange(change: (BackendServer) -> OverridesChange): NameChange = { bundle, name ->
    val server = BackendServer(name)
    val isKnown = bundle.services.any { service -> service.instances.any { it.server == server } }
    if (isKnown) NamedChange.Known(change(server)) else NamedChange.Wrong("\"$name\" is not a known backend server")
}

private fun lookup(kind: NameKind, change: (String) -> OverridesChange): NameChange = { bundle, name ->
    when (val found = NameIndex.of(bundle).lookup(kind, name)) {
        is NameLookup.Found -> NamedChange.Known(change(found.canonical))
        NameLookup.Unknown -> NamedChange.Wrong("\"$name\" is not a known ${kind.name.lowercase()}")
        is NameLookup.Ambiguous ->
            NamedChange.Wrong("\"$name\" means ${found.meanings.joinToString()}; write scheme:name")
    }
}
