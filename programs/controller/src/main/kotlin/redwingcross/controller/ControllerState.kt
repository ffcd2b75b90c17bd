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

/** State dump, metrics and readiness of a controller for operators, read from snapshots of the controller's tasks. */
internal class ControllerState(
    private val name: ProcessName,
    private val nodeTasks: NodeTasks,
    private val runtime: ControllerRuntime,
    private val clock: MonotonicClock,
) {
    /** The state dump of this process, by section. */
    val dump = StateDump(
        mapOf(
            "process" to { buildJsonObject { put("name", name.value) } },
            "control" to { controlSection(nodeTasks.control.view.value, clock.now()) },
            "members" to { membersSection(nodeTasks.peers.membership.view.value) },
            "zones" to ::zonesSection,
        ),
    )

    /** Ready once a bundle was received, also while the platform is unavailable, because observing does not need it. */
    val readiness: ReadReadiness = {
        val view = nodeTasks.control.view.value
        val confirmed = view.confirmedAt?.let { "confirmed ${(clock.now() - it).inWholeMilliseconds} ms ago" }
        if (view.control.bundle == null) {
            Readiness(false, "no bundle received yet from the platform or a peer")
        } else {
            Readiness(true, "ready: view ${confirmed ?: "never confirmed by the platform"}")
        }
    }

    /** The metrics of this process. */
    val metrics = ProcessMetrics().apply {
        gauge("redwingcross.controller.leases.held") { runtime.zones().count { it.isHolder } }
        gauge("redwingcross.controller.zones.known") { runtime.zones().size }
        gauge("redwingcross.control.bundle.version") {
            nodeTasks.control.view.value.control.bundle?.version?.value ?: 0
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
