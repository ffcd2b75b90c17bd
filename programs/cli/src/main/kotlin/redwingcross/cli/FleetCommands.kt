package redwingcross.cli

import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import redwingcross.version.routing.RouterDump
import redwingcross.version.routing.ServerDump

/** A command that reports on all gateways of the bundle in force. */
internal abstract class FleetCommand(name: String, summary: String) : OperatorCommand(name, summary) {
    override suspend fun execute(context: OperatorContext): CommandReport = when (val fleet = readFleetState(context)) {
        is FleetState.Failed -> fleet.report
        is FleetState.Known -> report(fleet)
    }

    /** Builds the report from the states of the gateways. */
    protected abstract fun report(fleet: FleetState.Known): CommandReport
}

/** `redwingcross groups`: the serving groups, with the number of gateways on which each is usable. */
internal class GroupsCommand : FleetCommand("groups", "Show serving groups, and why a group is not serving.") {
    override fun report(fleet: FleetState.Known): CommandReport {
        val routers = fleet.nodes.mapNotNull { it.router }
        val byGroup = routers.flatMap { it.servers }.filter { it.group != null }.groupBy { it.group.orEmpty() }
        val lines = byGroup.toSortedMap().map { (group, dumps) -> groupLine(group, dumps, routers.size) }
        val json = JsonArray(byGroup.map { (group, dumps) -> groupJson(group, dumps, routers.size) })
        val shown = lines.ifEmpty { listOf("the gateways report no serving group") } + fleet.unansweredLines()
        return CommandReport(ExitCode.DONE, shown, json)
    }

    private fun groupLine(group: String, dumps: List<ServerDump>, gateways: Int): String {
        val newest = dumps.maxBy { it.generation ?: 0 }
        val usable = dumps.count { it.usable }
        val reasons = dumps.filterNot { it.usable }.map(::unusableReason).filter(String::isNotEmpty).distinct()
        return "$group model=${newest.service} zone=${newest.zone} generation=${newest.generation} " +
            "readiness=${newest.readiness} usableOn=$usable/$gateways slots=${dumps.sumOf { it.slots }} " +
            "inFlight=${dumps.sumOf { it.inFlight }}" +
            if (reasons.isEmpty()) "" else " because: ${reasons.joinToString("; ")}"
    }

    private fun groupJson(group: String, dumps: List<ServerDump>, gateways: Int): JsonObject {
        val newest = dumps.maxBy { it.generation ?: 0 }
        return jsonOf(
            "group" to group,
            "model" to newest.service,
            "zone" to newest.zone,
            "generation" to newest.generation,
            "readiness" to newest.readiness,
            "usableOn" to dumps.count { it.usable },
            "slots" to dumps.sumOf { it.slots },
            "gateways" to gateways,
            "inFlight" to dumps.sumOf { it.inFlight },
            "because" to dumps.filterNot { it.usable }.map(::unusableReason).distinct().joinToString("; "),
        )
    }

    /** Why a gateway does not use the group; empty if it gives no reason. */
    private fun unusableReason(server: ServerDump): String =
        listOfNotNull(server.reason.takeIf(String::isNotEmpty), server.suspendedBecause).joinToString(", ")
}

/** `redwingcross customers`: the requests of each customer, summed over the gateways. */
internal class CustomersCommand : FleetCommand("customers", "Show the load and the refusals of each customer.") {
    override fun report(fleet: FleetState.Known): CommandReport {
        val totals = fleet.nodes.mapNotNull { it.router }.flatMap(RouterDump::customers).groupBy { it.customer }
        val rows = totals.toSortedMap().map { (customer, parts) ->
            val refused = parts.flatMap { it.refused.entries }
                .groupBy({ it.key.name.lowercase() }, { it.value })
                .mapValues { it.value.sum() }
            jsonOf(
                "customer" to customer,
                "waiting" to parts.sumOf { it.waiting },
                "inFlight" to parts.sumOf { it.inFlight },
                "granted" to parts.sumOf { it.granted },
                "refused" to JsonObject(refused.mapValues { JsonPrimitive(it.value) }),
            )
        }
        val lines = rows.map { row -> row.entries.joinToString(" ") { (name, value) -> "$name=$value" } }
        val shown = lines.ifEmpty { listOf("the gateways report no customer requests") } + fleet.unansweredLines()
        return CommandReport(ExitCode.DONE, shown, JsonArray(rows))
    }
}

/** `redwingcross state`: the state dump of the gateways, or one section of it. */
internal class StateCommand : OperatorCommand("state", "Dump the state of one gateway or of all.") {
    private val gateway by option("--gateway", help = "Name of a gateway; default: all gateways.")
    private val section by option("--section", help = "Section of the dump to print; default: all sections.")

    override suspend fun execute(context: OperatorContext): CommandReport = when (val fleet = readFleetState(context)) {
        is FleetState.Failed -> fleet.report
        is FleetState.Known -> report(fleet)
    }

    private fun report(fleet: FleetState.Known): CommandReport {
        val selected = fleet.nodes.filter { gateway == null || it.gateway.gateway.value == gateway }
        if (selected.isEmpty()) return CommandReport.badInput(listOf("--gateway: \"$gateway\" is not in the bundle"))
        val states = selected.associate { it.gateway.gateway.value to sectionOf(it) }
        return CommandReport(
            ExitCode.DONE,
            states.map { (name, state) -> "$name $state" } + fleet.unansweredLines(),
            JsonObject(states),
        )
    }

    private fun sectionOf(node: NodeState) = when (val sectionName = section) {
        null -> node.state ?: JsonNull
        else -> (node.state as? JsonObject)?.get(sectionName) ?: JsonNull
    }
}
