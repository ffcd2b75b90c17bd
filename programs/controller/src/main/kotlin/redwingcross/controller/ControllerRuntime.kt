package redwingcross.controller

import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import redwingcross.connection.engine.ReadReport
import redwingcross.connection.engine.SendOrder
import redwingcross.connection.platform.PlatformStore
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlView
import redwingcross.version.placement.PLACEMENT_KIND
import redwingcross.version.placement.PublishZoneStatus
import redwingcross.version.placement.ReconcilerSettings
import redwingcross.version.placement.StoredPlacement
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.placement.toStoredPlacement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the position of this process in the rendezvous order of the live controllers of a zone, starting at 0. */
typealias ControllerRank = (AvailabilityZone) -> Int

/** The store, engines and peers that the tasks of a controller use, as callbacks. */
class ControllerDependencies(
    val store: PlatformStore,
    /** The control state that this process has adopted. */
    val views: Flow<ControlView>,
    val readReport: ReadReport,
    val sendOrder: SendOrder,
    /** Position of this process in the observer order of a zone. */
    val rank: ControllerRank,
    /** Sends a zone status to the peers. */
    val publishStatus: PublishZoneStatus,
)

private const val EVENT_CAPACITY = 64

/**
 * Runs the tasks of each zone of the accepted bundle and passes on to them the changes of the control state, the
 * placements in the store and the zone statuses from peers.
 */
class ControllerRuntime(
    private val name: ProcessName,
    /** Identifies this start of the process; no two starts have the same value. */
    private val incarnation: String,
    private val dependencies: ControllerDependencies,
    private val clock: MonotonicClock,
    private val settings: ReconcilerSettings = ReconcilerSettings(),
) {
    private sealed interface Event {
        class Control(val control: ControlState) : Event

        class LeavingVms(val leaving: Set<Vm>) : Event

        class Placement(val stored: StoredPlacement) : Event

        class Status(val status: ZoneStatus) : Event

        class Stop(val timeout: Duration, val stopped: Channel<Unit>) : Event
    }

    private val events = Channel<Event>(EVENT_CAPACITY)
    private val zones = LinkedHashMap<AvailabilityZone, ZoneTasks>()

    /** Snapshot of the values of [zones], for threads other than the one that runs [run]. */
    @Volatile
    private var zonesSnapshot = emptyList<ZoneTasks>()
    private var leaving = emptySet<Vm>()

    // Placements of zones that the accepted bundle does not contain yet.
    private val pendingPlacements = HashMap<AvailabilityZone, StoredPlacement>()

    /** Roles of this controller in each zone. */
    internal fun zones(): List<ZoneRoles> = zonesSnapshot.map { it.roles() }

    /** Passes on a zone status that was received from an observer. */
    suspend fun statusReceived(status: ZoneStatus) = events.send(Event.Status(status))

    /** Releases all leases and returns when that is done or after [timeout]. [run] goes on until it is cancelled. */
    suspend fun stop(timeout: Duration = 3.seconds) {
        val stopped = Channel<Unit>(1)
        events.send(Event.Stop(timeout, stopped))
        stopped.receive()
    }

    /** Handles the events until cancelled. */
    suspend fun run() = coroutineScope {
        val states = dependencies.views.map { it.control }.distinctUntilChanged()
        launch { states.collect { events.send(Event.Control(it)) } }
        launch { states.map { it.leaving.vms }.distinctUntilChanged().collect { events.send(Event.LeavingVms(it)) } }
        launch {
            dependencies.store.watch(PLACEMENT_KIND).collect { event ->
                event.objects().mapNotNull { it.toStoredPlacement() }.forEach { events.send(Event.Placement(it)) }
            }
        }
        for (event in events) {
            handle(event) { zone -> launch { zone.run() } }
        }
    }

    private suspend fun handle(event: Event, start: (ZoneTasks) -> Job) {
        when (event) {
            is Event.Control -> handleControl(event.control, start)
            is Event.LeavingVms -> {
                leaving = event.leaving
                zones.values.forEach { it.reconciler.leavingChanged(leaving) }
            }
            is Event.Placement -> handlePlacement(event.stored)
            is Event.Status -> handleStatus(event.status)
            is Event.Stop -> {
                withTimeoutOrNull(event.timeout) { zones.values.forEach { it.reconciler.release() } }
                event.stopped.send(Unit)
            }
        }
    }

    private suspend fun handleStatus(status: ZoneStatus) {
        val tasks = zones[status.zone] ?: return
        tasks.observer.statusReceived(status)
        if (status.observer != name) status.holder?.let { tasks.reconciler.holderAnnounced(it) }
    }

    private suspend fun handlePlacement(stored: StoredPlacement) {
        val zone = zones[stored.placement.zone]
        if (zone == null) pendingPlacements[stored.placement.zone] = stored else zone.observer.placementReceived(stored)
    }

    private suspend fun handleControl(control: ControlState, start: (ZoneTasks) -> Job) {
        control.bundle?.bundle?.zones.orEmpty().filter { it !in zones }.forEach { zone ->
            val tasks = ZoneTasks(zone, name, incarnation, dependencies, clock, settings)
            zones[zone] = tasks
            zonesSnapshot = zones.values.toList()
            start(tasks)
            tasks.reconciler.leavingChanged(leaving)
            pendingPlacements.remove(zone)?.let { tasks.observer.placementReceived(it) }
        }
        zones.values.forEach { it.controlChanged(control) }
    }
}
