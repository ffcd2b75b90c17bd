package redwingcross.controller

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.control.ControlState
import redwingcross.version.placement.ReconcilerSettings
import redwingcross.version.placement.ReportCollector
import redwingcross.version.placement.ZoneObserver
import redwingcross.version.placement.ZoneReconciler

/** The tasks of one zone in one controller. Observer and reconciler share the reports of one collector. */
internal class ZoneTasks(
    private val zone: AvailabilityZone,
    name: ProcessName,
    incarnation: String,
    private val links: ControllerDependencies,
    clock: MonotonicClock,
    settings: ReconcilerSettings,
) {
    val reconciler =
        ZoneReconciler(
            zone = zone,
            self = name,
            incarnation = incarnation,
            store = links.store,
            sendOrder = links.sendOrder,
            clock = clock,
            settings = settings,
            rank = { links.rank(zone) },
        )

    val observer =
        ZoneObserver(
            zone = zone,
            self = name,
            clock = clock,
            // The holder publishes as well, so that its lease is heard of when another controller is the first.
            isLive = { links.rank(it) == 0 || reconciler.isHolder },
            publish = { status -> links.publishStatus(status.copy(holder = reconciler.heldEpoch)) },
            times = settings.placement.members,
        )

    private val collector =
        ReportCollector(
            zone = zone,
            readReport = links.readReport,
            clock = clock,
            needed = { reconciler.isHolder || links.rank(zone) == 0 },
            interval = settings.placement.members.reportInterval,
            offers = listOf(reconciler.offerReport, observer.offerReport),
        )

    /** Readable from any thread. */
    fun roles() = ZoneRoles(zone, reconciler.isHolder, links.rank(zone) == 0)

    suspend fun controlChanged(control: ControlState) {
        collector.controlChanged(control)
        observer.controlChanged(control)
        reconciler.controlChanged(control)
    }

    /** Runs until it is cancelled. */
    suspend fun run() = coroutineScope {
        launch { reconciler.run() }
        launch { observer.run() }
        launch { collector.run() }
    }
}
