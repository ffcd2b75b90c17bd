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

/** Time within which an accepted change must be in force everywhere. */
private val spreadTarget = 5.seconds
private val pollInterval = 250.milliseconds

/** Versions that a gateway says it has adopted. */
private data class AdoptedVersions(val gateway: GatewayEntry, val bundle: Long?, val overrides: Long?) {
    fun covers(control: ControlState): Boolean =
        (bundle ?: 0) >= (control.bundle?.version?.value ?: 0) && (overrides ?: -1) >= control.overrides.version.value
}

/**
 * Sends the control state in force to every gateway and waits until all have adopted it, at most for the time
 * within which a change must be in force. Gateways that did not confirm are listed, with [ExitCode.OUTCOME_UNKNOWN].
 */
internal suspend fun reportSpread(context: OperatorContext, change: String): CommandReport {
    val control = when (val read = controlInForce(context)) {
        is Reading.Failed -> return CommandReport.failed(read.detail)
        is Reading.Value -> read.value
    }
    val accepted = control.bundle ?: return CommandReport.done("no bundle is in force")
    val started = context.clock.now()
    pushToAll(context, control)
    var adopted = adoptedVersions(context, control)
    while (adopted.any { !it.covers(control) } && context.clock.now() - started < spreadTarget) {
        delay(pollInterval)
        adopted = adoptedVersions(context, control)
    }
    val missing = adopted.filterNot { it.covers(control) }
    val summary = "$change: version ${accepted.version}, overrides ${control.overrides.version}, in force on " +
        "${adopted.size - missing.size} of ${adopted.size} gateways"
    val lines = listOf(summary) + missing.map { "not confirmed by ${it.gateway.gateway}: ${describe(it)}" }
    val exit = if (missing.isEmpty()) ExitCode.DONE else ExitCode.OUTCOME_UNKNOWN
    return CommandReport(exit, lines, JsonArray(adopted.map(::adoptedJson)))
}

private suspend fun controlInForce(context: OperatorContext): Reading<ControlState> {
    val bundle = when (val read = context.accepted()) {
        is Reading.Failed -> return read
        is Reading.Value -> read.value
    }
    return when (val read = context.overrides()) {
        is Reading.Failed -> read
        is Reading.Value -> Reading.Value(ControlState(bundle, read.value ?: Overrides()))
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
