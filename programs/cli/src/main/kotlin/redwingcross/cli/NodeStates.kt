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

/** One gateway with its state dump; [state] is null if the gateway did not answer. */
internal class NodeState(val gateway: GatewayEntry, val state: JsonElement?) {
    /** The router section of the dump; null if the gateway did not answer or the section is missing or malformed. */
    val router: RouterDump?
        get() = try {
            (state as? JsonObject)?.get("router")?.let { json.decodeFromJsonElement(RouterDump.serializer(), it) }
        } catch (_: SerializationException) {
            null
        }
}

/** The bundle in force with the states of all its gateways, or the report of why they could not be read. */
internal sealed interface FleetState {
    class Known(val bundle: Bundle, val nodes: List<NodeState>) : FleetState

    class Failed(val report: CommandReport) : FleetState
}

/** Reads the bundle in force and requests the states of its gateways in parallel. */
internal suspend fun readFleetState(context: OperatorContext): FleetState {
    val bundle = when (val read = context.acceptedBundle()) {
        is ReadResult.Failed -> return FleetState.Failed(CommandReport.failed(read.detail))
        is ReadResult.Value ->
            read.value?.bundle ?: return FleetState.Failed(CommandReport.conflict("no bundle is in force"))
    }
    val nodes = coroutineScope {
        bundle.gateways.map { gateway -> async { NodeState(gateway, context.readState(gateway.peer)) } }.awaitAll()
    }
    return FleetState.Known(bundle, nodes)
}

/** A line for each gateway that did not answer: totals over the other gateways are incomplete. */
internal fun FleetState.Known.unansweredLines(): List<String> =
    nodes.filter { it.state == null }.map { "no answer from ${it.gateway.gateway} at ${it.gateway.peer}" }
