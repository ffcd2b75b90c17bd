package redwingcross.version.routing

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.eventLine
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import redwingcross.request.slot.SlotSource
import redwingcross.version.control.ControlView
import redwingcross.version.placement.ZoneStatus
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}
private const val MAILBOX_SIZE = 4096

/**
 * Interval at which limits of ramping servers and deadlines of waiting requests are evaluated while no message arrives.
 */
private val TICK = 100.milliseconds

/** Sends a report to the other gateways; must not block. */
typealias ReportCold = (ColdReport) -> Unit

/**
 * Owns the routing state of a gateway. Requests for a slot are refused with `QUEUE_FULL` while the mailbox is full.
 *
 * Releases and withdrawals have a channel of their own. It is not bounded, because dropping one of them would leak a
 * slot; its size can't exceed the number of granted slots and waiting requests.
 */
class RouterTask(
    private val router: Router,
    private val settings: RouterSettings,
    private val clock: MonotonicClock,
    private val views: Flow<ControlView>,
    private val reportCold: ReportCold,
) {
    private val mailbox = Channel<Envelope>(MAILBOX_SIZE)
    private val releases = Channel<RouterMessage>(Channel.UNLIMITED)
    private val controlViews = Channel<RouterMessage>(Channel.CONFLATED)
    private val ticks = Channel<RouterMessage>(Channel.CONFLATED)
    private val tickets = AtomicLong()

    @Volatile
    private var published: RouterState = router.initial()

    /** Interface through which requests acquire, confirm and release slots. */
    val slots: SlotSource = SlotSource(::acquire, ::confirm, ::release)

    /** The latest state; immutable. */
    val state: RouterState get() = published

    /** Snapshot of the state for operators and metrics. */
    fun dump(): RouterDump = published.dump(clock.now())

    /** Handles a zone status that was published [age] ago. Suspends while the mailbox is full. */
    suspend fun statusReceived(status: ZoneStatus, age: Duration): Unit =
        mailbox.send(Envelope(RouterMessage.StatusReceived(status, clock.now() - age)))

    /** Handles another gateway's report that a server lost its warm state. Suspends while the mailbox is full. */
    suspend fun coldReported(report: ColdReport): Unit = mailbox.send(Envelope(RouterMessage.ColdReported(report)))

    /** Runs until cancelled, then refuses every waiting request with `SHUTTING_DOWN`. */
    suspend fun run(): Unit = coroutineScope {
        launch { views.collect { controlViews.send(RouterMessage.ControlChanged(it)) } }
        launch {
            while (isActive) {
                delay(TICK)
                ticks.send(RouterMessage.Tick)
            }
        }
        val waiting = mutableMapOf<Ticket, CompletableDeferred<SlotAnswer>>()
        try {
            while (true) process(nextEnvelope(), waiting)
        } finally {
            refuseAll(waiting)
        }
    }

    private suspend fun nextEnvelope(): Envelope = select {
        // The first ready clause is selected, so released slots and a changed view are handled before new requests.
        releases.onReceive { Envelope(it) }
        controlViews.onReceive { Envelope(it) }
        ticks.onReceive { Envelope(it) }
        mailbox.onReceive { it }
    }

    private fun process(first: Envelope, waiting: MutableMap<Ticket, CompletableDeferred<SlotAnswer>>) {
        val pending = ArrayDeque(listOf(first))
        while (pending.isNotEmpty()) {
            val (message, answer) = pending.removeFirst()
            if (message is RouterMessage.Acquire && answer != null) waiting[message.ticket] = answer
            if (message is RouterMessage.Withdraw) waiting.remove(message.ticket)
            val transition = router.step(published, message, clock.now())
            // Publish the state before completing the answer: a granted request may call confirm immediately.
            published = transition.state
            transition.effects.mapNotNull { carryOut(it, waiting) }.forEach { pending += Envelope(it) }
        }
    }

    /** Returns the message that releases a slot again if its request was withdrawn in the meantime, null otherwise. */
    private fun carryOut(
        effect: RouterEffect,
        waiting: MutableMap<Ticket, CompletableDeferred<SlotAnswer>>,
    ): RouterMessage? = when (effect) {
        is RouterEffect.Grant -> {
            val taken = waiting.remove(effect.ticket)?.complete(SlotAnswer.Granted(effect.slot)) ?: false
            if (taken) null else RouterMessage.Release(effect.slot.id, SlotResult.Unused)
        }
        is RouterEffect.Refuse -> {
            waiting.remove(effect.ticket)?.complete(SlotAnswer.Refused(effect.reason, effect.retryAfter))
            null
        }
        is RouterEffect.ReportCold -> {
            logger.warn {
                eventLine(
                    "server_cold",
                    "server" to effect.report.server,
                    "incarnation" to effect.report.incarnation,
                )
            }
            reportCold(effect.report)
            null
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun acquire(request: SlotRequest): SlotAnswer {
        val answer = CompletableDeferred<SlotAnswer>()
        val ticket = Ticket(tickets.incrementAndGet())
        val accepted = mailbox.trySend(Envelope(RouterMessage.Acquire(ticket, request), answer))
        if (accepted.isClosed) return refused(NotRunReason.SHUTTING_DOWN)
        if (accepted.isFailure) return refused(NotRunReason.QUEUE_FULL)
        try {
            return answer.await()
        } catch (cancelled: CancellationException) {
            answer.cancel()
            val granted = if (answer.isCancelled) null else answer.getCompleted() as? SlotAnswer.Granted
            val release = granted?.let { RouterMessage.Release(it.slot.id, SlotResult.Unused) }
            releases.trySend(release ?: RouterMessage.Withdraw(ticket))
            throw cancelled
        }
    }

    private fun confirm(slot: SlotId): Boolean = published.canDispatch(slot, clock.now())

    private fun release(slot: SlotId, result: SlotResult) {
        releases.trySend(RouterMessage.Release(slot, result))
    }

    private fun refuseAll(waiting: Map<Ticket, CompletableDeferred<SlotAnswer>>) {
        mailbox.close()
        val late = generateSequence { mailbox.tryReceive().getOrNull() }.mapNotNull { it.answer }
        (waiting.values + late).forEach { it.complete(refused(NotRunReason.SHUTTING_DOWN)) }
    }

    private fun refused(reason: NotRunReason) = SlotAnswer.Refused(reason, settings.retryAfter)

    private data class Envelope(
        val message: RouterMessage,
        /** Completed with the outcome; null unless [message] is [RouterMessage.Acquire]. */
        val answer: CompletableDeferred<SlotAnswer>? = null,
    )
}
