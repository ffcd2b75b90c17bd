package redwingcross.cli

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import redwingcross.version.bundle.GatewayEntry
import redwingcross.version.control.ControlState
import redwingcross.version.control.Overrides
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time within which all gateways must adopt an accepted change. */
private val adoptionTimeout = 5.seconds
private val pollInterval = 250.milliseconds

/** Versions that a gateway reports as adopted. Both are null if it did not answer, [bundle] also if it has none. */
private data class AdoptedVersions(val gateway: GatewayEntry, val bundle: Long?, val overrides: Long?) {
    /** Whether the adopted versions are those of [control] or later. */
    fun covers(control: ControlState): Boolean =
        (bundle ?: 0) >= (control.bundle?.version?.value ?: 0) && (overrides ?: -1) >= control.overrides.version.value
}

/**
 * Sends the control state in force to every gateway and waits until all have adopted it, but no longer than
 * [adoptionTimeout]. If a gateway has not confirmed by then, the report lists it and has [ExitCode.OUTCOME_UNKNOWN].
 * [change] names the change in the report.
 */
internal suspend fun reportAdoption(context: OperatorContext, change: String): CommandReport {
    val control = when (val read = controlInForce(context)) {
        is ReadResult.Failed -> return CommandReport.failed(read.detail)
        is ReadResult.Value -> read.value
    }
    val accepted = control.bundle ?: return CommandReport.done("no bundle is in force")
    val startedAt = context.clock.now()
    pushToAll(context, control)
    var adopted = adoptedVersions(context, control)
    while (adopted.any { !it.covers(control) } && context.clock.now() - startedAt < adoptionTimeout) {
        delay(pollInterval)
        adopted = adoptedVersions(context, control)
    }
    val unconfirmed = adopted.filterNot { it.covers(control) }
    val summary = "$change: version ${accepted.version}, overrides ${control.overrides.version}, in force on " +
        "${adopted.size - unconfirmed.size} of ${adopted.size} gateways"
    val lines = listOf(summary) + unconfirmed.map { "not confirmed by ${it.gateway.gateway}: ${describe(it)}" }
    val exit = if (unconfirmed.isEmpty()) ExitCode.DONE else ExitCode.OUTCOME_UNKNOWN
    return CommandReport(exit, lines, JsonArray(adopted.map(::adoptedJson)))
}

private suspend fun controlInForce(context: OperatorContext): ReadResult<ControlState> {
    val bundle = when (val read = context.acceptedBundle()) {
        is ReadResult.Failed -> return read
        is ReadResult.Value -> read.value
    }
    return when (val read = context.overrides()) {
        is ReadResult.Failed -> read
        is ReadResult.Value -> ReadResult.Value(ControlState(bundle, read.value ?: Overrides()))
    }
}

private suspend fun pushToAll(context: OperatorContext, control: ControlState) = coroutineScope {
    control.bundle?.bundle?.gateways.orEmpty().map { async { context.push(it.peer, control) } }.awaitAll()
}

private suspend fun adoptedVersions(context: OperatorContext, control: ControlState): List<AdoptedVersions> =
    coroutineScope {
        control.bundle?.bundle?.gateways.orEmpty()
            .map { gateway -> async { versionsOf(gateway, context.readState(gateway.peer)) } }
            .awaitAll()
    }

private fun versionsOf(gateway: GatewayEntry, state: JsonElement?): AdoptedVersions {
    val control = (state as? JsonObject)?.get("control") as? JsonObject
    return AdoptedVersions(
        gateway = gateway,
        bundle = control?.get("bundle")?.jsonPrimitive?.longOrNull,
        overrides = control?.get("overrides")?.jsonPrimitive?.longOrNull,
    )
}

private fun describe(adopted: AdoptedVersions): String = when (adopted.overrides) {
    null -> "no answer from ${adopted.gateway.peer}"
    else -> "has version ${adopted.bundle ?: "none"}, overrides ${adopted.overrides}"
}

private fun adoptedJson(adopted: AdoptedVersions): JsonElement = jsonOf(
    "gateway" to adopted.gateway.gateway,
    "bundle" to adopted.bundle,
    "overrides" to adopted.overrides,
)
