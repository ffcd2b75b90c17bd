package redwingcross.version.placement

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.control.ControlState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Publishes a status to the gateways. */
typealias PublishZoneStatus = (ZoneStatus) -> Unit

/** Whether this process is the first alive controller in the rendezvous order of the zone. */
typealias IsActiveObserver = (AvailabilityZone) -> Boolean

private const val REPORT_MAILBOX_CAPACITY = 256
private const val EVENT_MAILBOX_CAPACITY = 64

/** Task that observes one zone and publishes its status while this process is the active observer. */
class ZoneObserver(
    private val zone: AvailabilityZone,
    self: ProcessName,
    private val clock: MonotonicClock,
    private val isLive: IsActiveObserver,
    private val publish: PublishZoneStatus,
    private val interval: Duration = 1.seconds,
    times: MemberTimeouts = MemberTimeouts(),
) {
    private val reports = Channel<CollectedReport>(REPORT_MAILBOX_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val events = Channel<ObserverMessage>(EVENT_MAILBOX_CAPACITY)
    private var state = ObserverState(zone, self, times)

    /** Accepts a report; the oldest one is dropped when the mailbox is full. */
    val offerReport: OfferReport = { reports.trySend(it) }

    /** Updates the engine endpoints from the bundle. Suspends while the mailbox is full. */
    suspend fun controlChanged(control: ControlState) {
        val entries = control.bundle?.bundle?.vms.orEmpty().filter { it.zone == zone }
        events.send(ObserverMessage.EndpointsChanged(entries.associate { it.vm to it.engine }))
    }

    /** Passes on a placement. Suspends while the mailbox is full. */
    suspend fun placementReceived(stored: StoredPlacement) = events.send(ObserverMessage.PlacementReceived(stored))

    /** Passes on the status of another observer. Suspends while the mailbox is full. */
    suspend fun statusReceived(status: ZoneStatus) = events.send(ObserverMessage.StatusReceived(status))

    /** Runs until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() {
        var tickAt = clock.now() + interval
        while (true) {
            if (clock.now() >= tickAt) {
                tickAt = clock.now() + interval
                step(ObserverMessage.LiveChanged(isLive(zone)))
                step(ObserverMessage.Tick)
            }
            select<Unit> {
                events.onReceive(::step)
                reports.onReceive { step(it.toMessage()) }
                onTimeout((tickAt - clock.now()).coerceAtLeast(Duration.ZERO)) { }
            }
        }
    }

    private fun CollectedReport.toMessage(): ObserverMessage =
        report?.let { ObserverMessage.ReportArrived(vm, it, requestedAt) }
            ?: ObserverMessage.ReportMissed(vm, requestedAt)

    private fun step(message: ObserverMessage) {
        val transition = ObserverDecision.step(state, message, clock.now())
        state = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is ObserverEffect.Publish -> publish(effect.status)
            }
        }
    }
}
