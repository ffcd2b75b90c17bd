package redwingcross.cli

import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import redwingcross.version.routing.RouterDump
import redwingcross.version.routing.ServerDump

/** A command that reports about the whole fleet. */
internal abstract class FleetCommand(name: String, summary: String) : OperatorCommand(name, summary) {
    override suspend fun execute(context: OperatorContext): CommandReport = when (val fleet = fleetState(context)) {
        is FleetState.Failed -> fleet.report
        is FleetState.Known -> report(fleet)
    }

    protected abstract fun report(fleet: FleetState.Known): CommandReport
}

/** `redwingcross groups`. */
internal class GroupsCommand : FleetCommand("groups", "Show serving groups, and why a group is not serving.") {
    override fun report(fleet: FleetState.Known): CommandReport {
        val routers = fleet.nodes.mapNotNull { it.router }
        val byGroup = routers.flatMap { it.servers }.filter { it.group != null }.groupBy { it.group.orEmpty() }
        val lines = byGroup.toSortedMap().map { (group, seen) -> groupLine(group, seen, routers.size) }
        val json = JsonArray(byGroup.map { (group, seen) -> groupJson(group, seen, routers.size) })
        val shown = lines.ifEmpty { listOf("no serving group is known") } + fleet.silentLines()
        return CommandReport(ExitCode.DONE, shown, json)
    }

    private fun groupLine(group: String, seen: List<ServerDump>, gateways: Int): String {
        val newest = seen.maxBy { it.generation ?: 0 }
        val usable = seen.count { it.usable }
        val why = seen.filterNot { it.usable }.map(::whyNot).filter(String::isNotEmpty).distinct()
        return "$group model=${newest.service} zone=${newest.zone} generation=${newest.generation} " +
            "readiness=${newest.readiness} usableOn=$usable/$gateways slots=${seen.sumOf { it.slots }} " +
            "inFlight=${seen.sumOf { it.inFlight }}" +
            if (why.isEmpty()) "" else " because: ${why.joinToString("; ")}"
    }

    private fun groupJson(group: String, seen: List<ServerDump>, gateways: Int): JsonObject {
        val newest = seen.maxBy { it.generation ?: 0 }
        return jsonOf(
            "group" to group,
            "model" to newest.service,
            "zone" to newest.zone,
            "generation" to newest.generation,
            "readiness" to newest.readiness,
            "usableOn" to seen.count { it.usable },
            "slots" to seen.sumOf { it.slots },
            "gateways" to gateways,
            "inFlight" to seen.sumOf { it.inFlight },
            "because" to seen.filterNot { it.usable }.map(::whyNot).distinct().joinToString("; "),
        )
    }

    private fun whyNot(server: ServerDump): String =
        listOfNotNull(server.reason.takeIf(String::isNotEmpty), server.suspendedBecause).joinToString(", ")
}

/** `redwingcross customers`. */
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
        val shown = lines.ifEmpty { listOf("no customer has sent a request") } + fleet.silentLines()
        return CommandReport(ExitCode.DONE, shown, JsonArray(rows))
    }
}

/** `redwingcross state`. */
internal class StateCommand : OperatorCommand("state", "Dump the state of one gateway or of all.") {
    private val gateway by option("--gateway", help = "Name of a gateway; all when it is left out.")
    private val section by option("--section", help = "Only this section of the dump.")

    override suspend fun execute(context: OperatorContext): CommandReport = when (val fleet = fleetState(context)) {
        is FleetState.Failed -> fleet.report
        is FleetState.Known -> report(fleet)
    }

    private fun report(fleet: FleetState.Known): CommandReport {
        val chosen = fleet.nodes.filter { gateway == null || it.gateway.gateway.value == gateway }
        if (chosen.isEmpty()) return CommandReport.badInput(listOf("--gateway: \"$gateway\" is not in the bundle"))
        val states = chosen.associate { it.gateway.gateway.value to sectionOf(it) }
        return CommandReport(
            ExitCode.DONE,
            states.map { (name, state) -> "$name $state" } + fleet.silentLines(),
            JsonObject(states),
        )
    }

    private fun sectionOf(node: NodeState) = when (val wanted = section) {
        null -> node.state ?: JsonNull
        else -> (node.state as? JsonObject)?.get(wanted) ?: JsonNull
    }
}
