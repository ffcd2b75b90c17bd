package redwingcross.version.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import redwingcross.connection.engine.SendOrder
import redwingcross.connection.platform.PlatformStore
import redwingcross.request.AvailabilityZone
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.control.ControlState
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseSettings
import redwingcross.version.lease.LeaseState
import kotlin.concurrent.Volatile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tells standbys by gossip that the zone's lease is held under an epoch. */
typealias PublishHolder = (AvailabilityZone, LeaseEpoch) -> Unit

/** Position of this process among the live controllers in the rendezvous order of the zone; 0 is the first. */
typealias StandbyRank = () -> Int

/** Settings of the reconciler of one zone. */
data class ReconcilerSettings(
    val lease: LeaseSettings = LeaseSettings(),
    val placement: PlacementSettings = PlacementSettings(),
    /** Time between two looks at the clock. */
    val tick: Duration = 500.milliseconds,
)

private const val MAILBOX = 256

/**
 * Task that owns the lease and the placement of one zone. It acts only while the lease allows it by its own clock, and
 * looks at the clock again immediately before each write and each order.
 */
class ZoneReconciler(
    private val zone: AvailabilityZone,
    self: ProcessName,
    incarnation: String,
    store: PlatformStore,
    private val sendOrder: SendOrder,
    private val clock: MonotonicClock,
    private val settings: ReconcilerSettings = ReconcilerSettings(),
    private val rank: StandbyRank = { 0 },
    private val publishHolder: PublishHolder = { _, _ -> },
) {
    private val log = KotlinLogging.logger {}
    private val calls = ZoneStore(store, zone)

    // Reports may be dropped, answers and changes may not: a lost answer would leave its call open forever.
    private val reports = Channel<CollectedReport>(MAILBOX, BufferOverflow.DROP_OLDEST)
    private val events = Channel<Event>(MAILBOX)
    private var lease = LeaseState(self, incarnation, settings.lease)
    private var placement = PlacementState(zone, incarnation, settings.placement)
    private val released = CompletableDeferred<Unit>()

    private sealed interface Event {
        class OfLease(val message: LeaseMessage) : Event

        class OfPlacement(val message: PlacementMessage) : Event
    }

    /** Whether this process holds the lease of the zone, so that it needs the reports. */
    @Volatile
    var isHolder: Boolean = false
        private set

    /** Takes a report; the oldest one is dropped when the mailbox is full. */
    val offerReport: OfferReport = { reports.trySend(it) }

    suspend fun controlChanged(control: ControlState) = send(PlacementMessage.ControlChanged(control))

    suspend fun leavingChanged(leaving: Set<Vm>) = send(PlacementMessage.LeavingChanged(leaving))

    suspend fun holderHeard(epoch: LeaseEpoch) = events.send(Event.OfLease(LeaseMessage.HolderHeard(epoch)))

    /** Gives the lease up and waits until the platform confirmed it. The caller bounds the time. */
    suspend fun release() {
        events.send(Event.OfLease(LeaseMessage.Release))
        released.await()
    }

    /** Runs until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() = coroutineScope {
        var tickAt = clock.now()
        while (true) {
            if (clock.now() >= tickAt) {
                tickAt = clock.now() + settings.tick
                tick()
            }
            select<Unit> {
                events.onReceive { handle(it) }
                reports.onReceive { step(it.toMessage()) }
                onTimeout((tickAt - clock.now()).coerceAtLeast(Duration.ZERO)) { }
            }
        }
    }

    private suspend fun send(message: PlacementMessage) = events.send(Event.OfPlacement(message))

    private fun CollectedReport.toMessage(): PlacementMessage =
        report?.let { PlacementMessage.ReportArrived(vm, it, askedAt) } ?: PlacementMessage.ReportMissed(vm, askedAt)

    private fun CoroutineScope.tick() {
        step(LeaseMessage.RankChanged(rank()))
        step(LeaseMessage.Tick)
        lease.actingEpoch(clock.now())?.let { publishHolder(zone, it) }
        step(PlacementMessage.Tick)
    }

    private fun CoroutineScope.handle(event: Event) = when (event) {
        is Event.OfLease -> step(event.message)
        is Event.OfPlacement -> step(event.message)
    }

    private fun CoroutineScope.step(message: LeaseMessage) {
        val transition = LeaseDecision.step(lease, message, clock.now())
        lease = transition.state
        transition.effects.forEach { carryOut(it) }
        isHolder = lease.held != null
        step(PlacementMessage.LeaseExtended(lease.actsUntil() ?: Duration.ZERO))
    }

    private fun CoroutineScope.carryOut(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Read -> launch { events.send(Event.OfLease(calls.readLease(effect))) }
            is LeaseEffect.Write -> launch { events.send(Event.OfLease(calls.writeLease(effect))) }
            is LeaseEffect.Acquired -> {
                log.info { "event=lease-acquired zone=$zone epoch=${effect.epoch}" }
                step(PlacementMessage.LeaseAcquired(effect.epoch, effect.former))
            }
            is LeaseEffect.Lost -> {
                log.warn { "event=lease-lost zone=$zone epoch=${effect.epoch}" }
                step(PlacementMessage.LeaseLost)
            }
            LeaseEffect.Released -> released.complete(Unit)
        }
    }

    private fun CoroutineScope.step(message: PlacementMessage) {
        val transition = PlacementDecision.step(placement, message, clock.now())
        placement = transition.state
        transition.effects.forEach { carryOut(it) }
    }

    private fun CoroutineScope.carryOut(effect: PlacementEffect) {
        val until = lease.actsUntil() ?: Duration.ZERO
        when (effect) {
            is PlacementEffect.ReadPlacement -> launch { send(calls.readPlacement(effect)) }
            is PlacementEffect.WritePlacement -> launch { send(write(effect, until)) }
            is PlacementEffect.OrderEngine -> launch { order(effect.order, until) }
            is PlacementEffect.LeaseDoubted -> step(LeaseMessage.Superseded)
        }
    }

    private suspend fun write(effect: PlacementEffect.WritePlacement, until: Duration): PlacementMessage {
        if (clock.now() >= until) return PlacementMessage.CallFailed(effect.call)
        val answer = calls.writePlacement(effect)
        log.info {
            "event=placement-written zone=$zone epoch=${effect.placement.epoch} " +
                "groups=${effect.placement.groups.size} result=${answer::class.simpleName}"
        }
        return answer
    }

    private suspend fun order(order: MemberOrder, until: Duration) {
        if (clock.now() >= until) return
        val result = sendOrder(order.endpoint.value, order.toEngineOrder()).toOrderResult()
        log.info {
            "event=order-sent zone=$zone vm=${order.vm} group=${order.assignment.group} " +
                "generation=${order.assignment.generation} rank=${order.assignment.shard.rank} " +
                "fencing=${order.epoch} result=${result::class.simpleName}"
        }
        send(PlacementMessage.OrderAnswered(order.vm, result))
    }
}
