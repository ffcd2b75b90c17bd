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
import redwingcross.request.eventLine
import redwingcross.version.control.ControlState
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseSettings
import redwingcross.version.lease.LeaseState
import kotlin.concurrent.Volatile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Position of this process among the alive controllers in the rendezvous order of the zone; 0 is the first. */
typealias StandbyRank = () -> Int

/** Settings of the reconciler of one zone. */
data class ReconcilerSettings(
    val lease: LeaseSettings = LeaseSettings(),
    val placement: PlacementSettings = PlacementSettings(),
    /** Interval between two [HolderMessage.Tick] messages. */
    val tick: Duration = 500.milliseconds,
)

private const val MAILBOX_CAPACITY = 256

/**
 * Task that owns the lease and the placement of one zone. It acts only while the lease is valid by its own clock, and
 * checks the clock again immediately before each write and each order.
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
) {
    private val log = KotlinLogging.logger {}
    private val calls = ZoneStore(store, zone)

    // Reports may be dropped, but not answers and changes: a lost answer would leave its call pending forever.
    private val reports = Channel<CollectedReport>(MAILBOX_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val events = Channel<HolderMessage>(MAILBOX_CAPACITY)
    private var state =
        HolderState(
            LeaseState(self, incarnation, settings.lease),
            PlacementState(zone, incarnation, settings.placement),
        )
    private val released = CompletableDeferred<Unit>()

    /** Whether this process holds the lease of the zone and therefore needs the reports. */
    @Volatile
    var isHolder: Boolean = false
        private set

    /** Epoch of the lease while this process may act under it, otherwise null; updated with every tick. */
    @Volatile
    var heldEpoch: LeaseEpoch? = null
        private set

    /** Accepts a report; the oldest one is dropped when the mailbox is full. */
    val offerReport: OfferReport = { reports.trySend(it) }

    /** Passes on a changed control state. Suspends while the mailbox is full. */
    suspend fun controlChanged(control: ControlState) = send(PlacementMessage.ControlChanged(control))

    /** Passes on the VMs that the platform lists as leaving. Suspends while the mailbox is full. */
    suspend fun leavingChanged(leaving: Set<Vm>) = send(PlacementMessage.LeavingChanged(leaving))

    /** Passes on that gossip announced a holder with [epoch]. Suspends while the mailbox is full. */
    suspend fun holderAnnounced(epoch: LeaseEpoch) = send(LeaseMessage.HolderAnnounced(epoch))

    /** Releases the lease and waits until the platform has confirmed it. The caller must apply a timeout. */
    suspend fun release() {
        send(LeaseMessage.Release)
        released.await()
    }

    /** Runs until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() = coroutineScope {
        var tickAt = clock.now()
        while (true) {
            if (clock.now() >= tickAt) {
                tickAt = clock.now() + settings.tick
                step(HolderMessage.Tick(rank()))
                heldEpoch = state.lease.validEpoch(clock.now())
            }
            select<Unit> {
                events.onReceive { step(it) }
                reports.onReceive { step(HolderMessage.OfPlacement(it.toMessage())) }
                onTimeout((tickAt - clock.now()).coerceAtLeast(Duration.ZERO)) { }
            }
        }
    }

    private suspend fun send(message: PlacementMessage) = events.send(HolderMessage.OfPlacement(message))

    private suspend fun send(message: LeaseMessage) = events.send(HolderMessage.OfLease(message))

    private fun CollectedReport.toMessage(): PlacementMessage =
        report?.let { PlacementMessage.ReportArrived(vm, it, requestedAt) }
            ?: PlacementMessage.ReportMissed(vm, requestedAt)

    private fun CoroutineScope.step(message: HolderMessage) {
        val transition = HolderDecision.step(state, message, clock.now())
        state = transition.state
        isHolder = state.lease.held != null
        transition.effects.forEach { effect ->
            when (effect) {
                is HolderEffect.OfLease -> carryOut(effect.effect)
                is HolderEffect.OfPlacement -> carryOut(effect.effect)
            }
        }
    }

    private fun CoroutineScope.carryOut(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Read -> launch { send(calls.readLease(effect)) }
            is LeaseEffect.Write -> launch { send(calls.writeLease(effect)) }
            is LeaseEffect.Acquired -> log.info { eventLine("lease_acquired", "zone" to zone, "epoch" to effect.epoch) }
            is LeaseEffect.Lost -> log.warn { eventLine("lease_lost", "zone" to zone, "epoch" to effect.epoch) }
            LeaseEffect.Released -> released.complete(Unit)
        }
    }

    private fun CoroutineScope.carryOut(effect: PlacementEffect) {
        val until = state.lease.validUntil() ?: Duration.ZERO
        when (effect) {
            is PlacementEffect.ReadPlacement -> launch { send(calls.readPlacement(effect)) }
            is PlacementEffect.WritePlacement -> launch { send(write(effect, until)) }
            is PlacementEffect.OrderEngine -> launch { order(effect.order, until) }
            is PlacementEffect.RecheckLease -> log.warn {
                eventLine(
                    "lease_doubted",
                    "zone" to zone,
                    "epoch" to effect.epoch,
                )
            }
        }
    }

    private suspend fun write(effect: PlacementEffect.WritePlacement, until: Duration): PlacementMessage {
        if (clock.now() >= until) return PlacementMessage.CallFailed(effect.call)
        val answer = calls.writePlacement(effect)
        log.info {
            "event=placement_written zone=$zone epoch=${effect.placement.epoch} " +
                "groups=${effect.placement.groups.size} result=${answer::class.simpleName}"
        }
        return answer
    }

    private suspend fun order(order: MemberOrder, until: Duration) {
        if (clock.now() >= until) return
        val result = sendOrder(order.endpoint.value, order.toEngineOrder()).toOrderResult()
        log.info {
            "event=order_sent zone=$zone vm=${order.vm} group=${order.assignment.group} " +
                "generation=${order.assignment.generation} rank=${order.assignment.shard.rank} " +
                "fencing=${order.epoch} result=${result::class.simpleName}"
        }
        send(PlacementMessage.OrderAnswered(order.vm, result))
    }
}
