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

/** Position of this process among the live controllers in the rendezvous order of a zone; 0 is the first. */
typealias ControllerRank = (AvailabilityZone) -> Int

/** What a controller reaches outside its process. */
class ControllerDependencies(
    val store: PlatformStore,
    /** The control state that this process has adopted. */
    val views: Flow<ControlView>,
    val readReport: ReadReport,
    val sendOrder: SendOrder,
    val rank: ControllerRank,
    val publishStatus: PublishZoneStatus,
)

private const val EVENT_MAILBOX = 64

/** Starts the tasks of each zone of the accepted bundle and hands them what the platform and the peers say. */
class ControllerRuntime(
    private val name: ProcessName,
    /** Differs for each start of the process. */
    private val incarnation: String,
    private val links: ControllerDependencies,
    private val clock: MonotonicClock,
    private val settings: ReconcilerSettings = ReconcilerSettings(),
) {
    private sealed interface Event {
        class Control(val control: ControlState) : Event

        class Leaving(val leaving: Set<Vm>) : Event

        class Placed(val stored: StoredPlacement) : Event

        class Status(val status: ZoneStatus) : Event

        class Stop(val limit: Duration, val stopped: Channel<Unit>) : Event
    }

    private val events = Channel<Event>(EVENT_MAILBOX)
    private val zones = LinkedHashMap<AvailabilityZone, ZoneTasks>()

    /** Copy of [zones] for readers outside the task. */
    @Volatile
    private var published = emptyList<ZoneTasks>()
    private var leaving = emptySet<Vm>()

    // Placements that were seen before the bundle that names their zone.
    private val early = HashMap<AvailabilityZone, StoredPlacement>()

    /** What this controller does for each zone at the moment. */
    internal fun zones(): List<ZoneRoles> = published.map { it.roles() }

    /** Passes on a status that another observer published. */
    suspend fun statusHeard(status: ZoneStatus) = events.send(Event.Status(status))

    /** Gives up all leases, but waits no longer than [limit]. The caller then cancels [run]. */
    suspend fun stop(limit: Duration = 3.seconds) {
        val stopped = Channel<Unit>(1)
        events.send(Event.Stop(limit, stopped))
        stopped.receive()
    }

    /** Runs until it is cancelled. */
    suspend fun run() = coroutineScope {
        val states = links.views.map { it.control }.distinctUntilChanged()
        launch { states.collect { events.send(Event.Control(it)) } }
        launch { states.map { it.leaving.vms }.distinctUntilChanged().collect { events.send(Event.Leaving(it)) } }
        launch {
            links.store.watch(PLACEMENT_KIND).collect { event ->
                event.objects().mapNotNull { it.toStoredPlacement() }.forEach { events.send(Event.Placed(it)) }
            }
        }
        for (event in events) {
            handle(event) { zone -> launch { zone.run() } }
        }
    }

    private suspend fun handle(event: Event, start: (ZoneTasks) -> Job) {
        when (event) {
            is Event.Control -> controlChanged(event.control, start)
            is Event.Leaving -> {
                leaving = event.leaving
                zones.values.forEach { it.reconciler.leavingChanged(leaving) }
            }
            is Event.Placed -> placed(event.stored)
            is Event.Status -> statusSeen(event.status)
            is Event.Stop -> {
                withTimeoutOrNull(event.limit) { zones.values.forEach { it.reconciler.release() } }
                event.stopped.send(Unit)
            }
        }
    }

    private suspend fun statusSeen(status: ZoneStatus) {
        val tasks = zones[status.zone] ?: return
        tasks.observer.statusHeard(status)
        if (status.observer != name) status.holder?.let { tasks.reconciler.holderHeard(it) }
    }

    private suspend fun placed(stored: StoredPlacement) {
        val tasks = zones[stored.placement.zone]
        if (tasks == null) early[stored.placement.zone] = stored else tasks.observer.placementSeen(stored)
    }

    private suspend fun controlChanged(control: ControlState, start: (ZoneTasks) -> Job) {
        control.bundle?.bundle?.zones.orEmpty().filter { it !in zones }.forEach { zone ->
            val tasks = ZoneTasks(zone, name, incarnation, links, clock, settings)
            zones[zone] = tasks
            published = zones.values.toList()
            start(tasks)
            tasks.reconciler.leavingChanged(leaving)
            early.remove(zone)?.let { tasks.observer.placementSeen(it) }
        }
        zones.values.forEach { it.controlChanged(control) }
    }
}
