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

/** The tasks of one controller for one zone. The observer and the reconciler get the reports of the same collector. */
internal class ZoneTasks(
    private val zone: AvailabilityZone,
    name: ProcessName,
    incarnation: String,
    private val dependencies: ControllerDependencies,
    clock: MonotonicClock,
    settings: ReconcilerSettings,
) {
    val reconciler =
        ZoneReconciler(
            zone = zone,
            self = name,
            incarnation = incarnation,
            store = dependencies.store,
            sendOrder = dependencies.sendOrder,
            clock = clock,
            settings = settings,
            rank = { dependencies.rank(zone) },
        )

    val observer =
        ZoneObserver(
            zone = zone,
            self = name,
            clock = clock,
            // The lease holder publishes too: its statuses announce its lease when another controller is first.
            isLive = { dependencies.rank(it) == 0 || reconciler.isHolder },
            publish = { status -> dependencies.publishStatus(status.copy(holder = reconciler.heldEpoch)) },
            times = settings.placement.members,
        )

    private val collector =
        ReportCollector(
            zone = zone,
            readReport = dependencies.readReport,
            clock = clock,
            needed = { reconciler.isHolder || dependencies.rank(zone) == 0 },
            interval = settings.placement.members.reportInterval,
            offers = listOf(reconciler.offerReport, observer.offerReport),
        )

    /** Roles of this controller in the zone. May be called from any thread. */
    fun roles() = ZoneRoles(zone, reconciler.isHolder, dependencies.rank(zone) == 0)

    suspend fun controlChanged(control: ControlState) {
        collector.controlChanged(control)
        observer.controlChanged(control)
        reconciler.controlChanged(control)
    }

    /** Runs the tasks until cancelled. */
    suspend fun run() = coroutineScope {
        launch { reconciler.run() }
        launch { observer.run() }
        launch { collector.run() }
    }
}
