package redwingcross.controller

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonArray
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

/** What operators see of a controller: its state dump, metrics and readiness, read from snapshots of its tasks. */
internal class ControllerState(
    private val name: ProcessName,
    private val links: NodeTasks,
    private val runtime: ControllerRuntime,
    private val clock: MonotonicClock,
) {
    /** The dump of this process, section by section. */
    val dump = StateDump(
        mapOf(
            "process" to { buildJsonObject { put("name", name.value) } },
            "control" to { controlSection(links.control.view.value, clock.now()) },
            "members" to { membersSection(links.peers.membership.view.value) },
            "zones" to ::zonesSection,
        ),
    )

    /** A controller is ready once it knows a bundle; it goes on observing without the platform. */
    val readiness: ReadReadiness = {
        val view = links.control.view.value
        val confirmed = view.confirmedAt?.let { "confirmed ${(clock.now() - it).inWholeMilliseconds} ms ago" }
        if (view.control.bundle == null) {
            Readiness(false, "no bundle is known; the platform or a peer must answer")
        } else {
            Readiness(true, "ready: view ${confirmed ?: "never confirmed by the platform"}")
        }
    }

    /** The metrics of this process. */
    val metrics = ProcessMetrics().apply {
        gauge("redwingcross.controller.leases.held") { runtime.zones().count { it.isHolder } }
        gauge("redwingcross.controller.zones.known") { runtime.zones().size }
        gauge("redwingcross.control.bundle.version") {
            links.control.view.value.control.bundle?.version?.value ?: 0
        }
    }

    private fun zonesSection(): JsonElement = buildJsonArray {
        runtime.zones().forEach { zone ->
            add(
                buildJsonObject {
                    put("zone", zone.zone.value)
                    put("holdsLease", zone.isHolder)
                    put("observes", zone.isObserver)
                },
            )
        }
    }
}
