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

/** Looks up the name that an operator gave in a bundle and returns the change to the overrides for it. */
private typealias ChangeLookup = (Bundle, String) -> LookupResult

private sealed interface LookupResult {
    class Found(val change: OverridesChange) : LookupResult

    /** The name is unknown or ambiguous. */
    class Invalid(val detail: String) : LookupResult
}

internal fun zoneCommands() = group("zone", "Evacuate and return availability zones.").subcommands(
    ChangeOverrides("take-out", "Send no new requests to a zone.", zoneChange { OverridesChange.TakeZoneOut(it) }),
    ChangeOverrides("return", "Send requests to a zone again.", zoneChange { OverridesChange.ReturnZone(it) }),
)

internal fun vmCommands() = group("vm", "Drain, replace and return VMs of model engines.").subcommands(
    ChangeOverrides(
        "retire",
        "Replace a VM in its group; the VM serves until then.",
        vmChange {
            OverridesChange.RetireVm(it)
        },
    ),
    ChangeOverrides("drain", "Send no new requests to a VM and its group.", vmChange { OverridesChange.DrainVm(it) }),
    ChangeOverrides("return", "Allow groups to use a VM again.", vmChange { OverridesChange.ReturnVm(it) }),
)

internal fun serverCommands() = group("server", "Drain and return instances of plain services.").subcommands(
    ChangeOverrides("drain", "Send no new requests to an instance.", serverChange { OverridesChange.DrainServer(it) }),
    ChangeOverrides("return", "Send requests to an instance again.", serverChange { OverridesChange.ReturnServer(it) }),
)

private fun group(name: String, summary: String) = object : SuspendingNoOpCliktCommand(name) {
    override fun help(context: Context): String = summary
}

/** Changes the overrides by one entry and waits until the gateways have adopted the change. */
private class ChangeOverrides(name: String, summary: String, private val lookUpChange: ChangeLookup) :
    OperatorCommand(name, summary) {
    private val target by argument("name", help = "Name in any naming scheme of the bundle.")

    override suspend fun execute(context: OperatorContext): CommandReport {
        val bundle = when (val read = context.acceptedBundle()) {
            is ReadResult.Failed -> return CommandReport.failed(read.detail)
            is ReadResult.Value -> read.value?.bundle ?: return CommandReport.conflict("no bundle is in force")
        }
        val change = when (val found = lookUpChange(bundle, target)) {
            is LookupResult.Invalid -> return CommandReport.badInput(listOf("name: ${found.detail}"))
            is LookupResult.Found -> found.change
        }
        val result = context.change(overridesKey, Overrides.serializer()) { current, nonce ->
            changeOverrides(current ?: Overrides(), change, nonce)
        }
        return when (result) {
            is ChangeResult.Done, ChangeResult.AlreadyDone -> reportAdoption(context, "$commandName $target")
            else -> result.failureReport("$commandName $target")
        }
    }
}

private fun zoneChange(change: (AvailabilityZone) -> OverridesChange): ChangeLookup =
    lookup(NameKind.ZONE) { change(AvailabilityZone(it)) }

private fun vmChange(change: (Vm) -> OverridesChange): ChangeLookup = lookup(NameKind.VM) { change(Vm(it)) }

private fun serverChange(change: (BackendServer) -> OverridesChange): ChangeLookup = { bundle, name ->
    val server = BackendServer(name)
    val isKnown = bundle.services.any { service -> service.instances.any { it.server == server } }
    if (isKnown) LookupResult.Found(change(server)) else LookupResult.Invalid("\"$name\" is not a known backend server")
}

private fun lookup(kind: NameKind, change: (String) -> OverridesChange): ChangeLookup = { bundle, name ->
    when (val found = NameIndex.of(bundle).lookup(kind, name)) {
        is NameLookup.Found -> LookupResult.Found(change(found.canonical))
        NameLookup.Unknown -> LookupResult.Invalid("\"$name\" is not a known ${kind.name.lowercase()}")
        is NameLookup.Ambiguous ->
            LookupResult.Invalid("\"$name\" is ambiguous: ${found.meanings.joinToString()}; write scheme:name")
    }
}
