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

/** What operators see of a gateway: its state dump, metrics and readiness, read from snapshots of its tasks. */
internal class GatewayState(
    private val name: ProcessName,
    private val links: NodeTasks,
    private val router: RouterTask,
    private val relayedBytes: () -> Long,
    private val clock: MonotonicClock,
) {
    /** The dump of this process, section by section. */
    val dump = StateDump(
        mapOf(
            "process" to ::processSection,
            "control" to { controlSection(links.control.view.value, clock.now()) },
            "members" to { membersSection(links.peers.membership.view.value) },
            "router" to { Json.encodeToJsonElement(RouterDump.serializer(), router.dump()) },
        ),
    )

    /** Whether this gateway admits new work, and since when it is without the platform. */
    val readiness: ReadReadiness = {
        val now = clock.now()
        val view = links.control.view.value
        val confirmed = view.confirmedAt?.let { "confirmed ${(now - it).inWholeMilliseconds} ms ago" }
        when {
            view.control.bundle == null -> Readiness(false, "no bundle is known; the platform or a peer must answer")
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
        gauge("redwingcross.gateway.zones.out") { links.control.view.value.control.overrides.zonesOut.size }
        gauge("redwingcross.control.bundle.version") {
            links.control.view.value.control.bundle?.version?.value ?: 0
        }
        gauge("redwingcross.control.confirmed.age.seconds") {
            links.control.view.value.confirmedAt?.let { (clock.now() - it).inWholeMilliseconds / MILLIS } ?: -1.0
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
