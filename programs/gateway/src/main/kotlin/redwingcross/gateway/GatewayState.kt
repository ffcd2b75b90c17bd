package redwingcross.gateway

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.process.node.NodeTasks
import redwingcross.process.node.controlSection
import redwingcross.process.node.membersSection
import redwingcross.process.operator.ReadReadiness
import redwingcross.process.operator.Readiness
import redwingcross.process.state.StateDump
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.routing.RouterDump
import redwingcross.version.routing.RouterTask

/** State dump, metrics and readiness of a gateway for operators, read from snapshots of the gateway's tasks. */
internal class GatewayState(
    private val name: ProcessName,
    private val nodeTasks: NodeTasks,
    private val router: RouterTask,
    private val relayedBytes: () -> Long,
    private val clock: MonotonicClock,
) {
    /** The state dump of this process, by section. */
    val dump = StateDump(
        mapOf(
            "process" to ::processSection,
            "control" to { controlSection(nodeTasks.control.view.value, clock.now()) },
            "members" to { membersSection(nodeTasks.peers.membership.view.value) },
            "router" to { Json.encodeToJsonElement(RouterDump.serializer(), router.dump()) },
        ),
    )

    /** Ready while this gateway admits new requests; the message contains the age of the latest confirmation. */
    val readiness: ReadReadiness = {
        val now = clock.now()
        val view = nodeTasks.control.view.value
        val confirmed = view.confirmedAt?.let { "confirmed ${(now - it).inWholeMilliseconds} ms ago" }
        when {
            view.control.bundle == null -> Readiness(false, "no bundle received yet from the platform or a peer")
            !view.isFresh(now) -> Readiness(false, "the view is stale: ${confirmed ?: "never confirmed"}")
            else -> Readiness(true, "ready: view ${confirmed ?: "confirmed by a majority of the gateways"}")
        }
    }

    /** The metrics of this process. */
    val metrics = ProcessMetrics().apply {
        gauge("redwingcross.gateway.requests.running") { router.state.held.size }
        gauge("redwingcross.gateway.requests.waiting") { router.dump().waiting }
        gauge("redwingcross.gateway.relay.bytes") { relayedBytes() }
        gauge("redwingcross.gateway.groups.usable") { router.dump().servers.count { it.group != null && it.usable } }
        gauge("redwingcross.gateway.groups.known") { router.dump().servers.count { it.group != null } }
        gauge("redwingcross.gateway.requests.granted") { router.dump().customers.sumOf { it.granted } }
        gauge("redwingcross.gateway.requests.refused") { router.dump().customers.sumOf { it.refused.values.sum() } }
        gauge("redwingcross.gateway.zones.out") { nodeTasks.control.view.value.control.overrides.zonesOut.size }
        gauge("redwingcross.control.bundle.version") {
            nodeTasks.control.view.value.control.bundle?.version?.value ?: 0
        }
        gauge("redwingcross.control.confirmed.age.seconds") {
            nodeTasks.control.view.value.confirmedAt?.let { (clock.now() - it).inWholeMilliseconds / MILLIS } ?: -1.0
        }
    }

    private fun processSection(): JsonElement = buildJsonObject {
        put("name", name.value)
        put("relayedBytes", relayedBytes())
        put("memoryUsedBytes", Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() })
    }

    private companion object {
        const val MILLIS = 1_000.0
    }
}
