package redwingcross.cli

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.GatewayEntry
import redwingcross.version.routing.RouterDump

private val json = Json { ignoreUnknownKeys = true }

/** One gateway with its state dump, or null when it does not answer. */
internal class NodeState(val gateway: GatewayEntry, val state: JsonElement?) {
    /** The router's section; null when the gateway does not answer or has none. */
    val router: RouterDump?
        get() = try {
            (state as? JsonObject)?.get("router")?.let { json.decodeFromJsonElement(RouterDump.serializer(), it) }
        } catch (_: SerializationException) {
            null
        }
}

/** The bundle in force with the states of all its gateways, or the report of what prevented it. */
internal sealed interface FleetState {
    class Known(val bundle: Bundle, val nodes: List<NodeState>) : FleetState

    class Failed(val report: CommandReport) : FleetState
}

internal suspend fun fleetState(context: OperatorContext): FleetState {
    val bundle = when (val read = context.accepted()) {
        is Reading.Failed -> return FleetState.Failed(CommandReport.failed(read.detail))
        is Reading.Value ->
            read.value?.bundle ?: return FleetState.Failed(CommandReport.conflict("no bundle is in force"))
    }
    val nodes = coroutineScope {
        bundle.gateways.map { gateway -> async { NodeState(gateway, context.readState(gateway.peer)) } }.awaitAll()
    }
    return FleetState.Known(bundle, nodes)
}

/** Names the gateways that did not answer, so that figures summed over the others are read as partial. */
internal fun FleetState.Known.silentLines(): List<String> =
    nodes.filter { it.state == null }.map { "no answer from ${it.gateway.gateway} at ${it.gateway.peer}" }
