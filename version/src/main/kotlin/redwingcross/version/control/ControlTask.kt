package redwingcross.version.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WatchKind
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.eventLine
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}
private const val MAILBOX_SIZE = 64
private val TICK = 1.seconds

/** Kind of the objects `control/bundle` and `control/overrides`. */
val CONTROL_KIND = ObjectKind("control")

/** Kind of the platform's list of VMs. */
val VMS_KIND = ObjectKind("vms")

/** Requests the control state of a peer; must not block. The reply is passed to [ControlTask.peerStateReceived]. */
typealias RequestPeerState = (ProcessName) -> Unit

/**
 * Owns the control state of a node. The functions that deliver messages suspend while the mailbox is full.
 *
 * [watch] must return unbuffered flows, because each request is assumed to be sent after the previous event was
 * collected, and must emit the changes of one response in the order of their versions.
 */
class ControlTask(
    private val decision: ControlDecision,
    private val settings: ViewSettings,
    private val clock: MonotonicClock,
    private val watch: WatchKind,
    private val requestPeerState: RequestPeerState,
    private val requestSeedPeerStates: () -> Unit,
) {
    private val mailbox = Channel<ControlMessage>(MAILBOX_SIZE)
    private val published = MutableStateFlow(ControlView())

    /** The latest view; each value is immutable. */
    val view: StateFlow<ControlView> = published.asStateFlow()

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { collectEvents(CONTROL_KIND, ::controlMessage) }
        launch { collectEvents(VMS_KIND, ::vmsMessage) }
        launch {
            while (isActive) {
                delay(TICK)
                mailbox.send(ControlMessage.Tick)
            }
        }
        var state = ControlDecisionState()
        for (message in mailbox) {
            val transition = decision.step(state, message, clock.now())
            state = transition.state
            published.value = state.view(settings)
            transition.effects.forEach(::carryOut)
        }
    }

    /** Handles a [stamp] that peer [from] sent in an exchange started at [requestedAt] on the process clock. */
    suspend fun stampReceived(from: ProcessName, stamp: ConfirmationStamp, requestedAt: Duration): Unit =
        mailbox.send(ControlMessage.StampReceived(from, stamp, requestedAt))

    /** Handles the control state of a peer, requested at [requestedAt]; null if an operator's command sent it. */
    suspend fun peerStateReceived(from: ProcessName, control: ControlState, requestedAt: Duration?): Unit =
        mailbox.send(ControlMessage.PeerStateReceived(from, control, requestedAt))

    /** Membership found a majority of the gateway set reachable, with probes sent at [probedAt] or later. */
    suspend fun majorityReachable(probedAt: Duration): Unit = mailbox.send(ControlMessage.MajorityReachable(probedAt))

    /** Membership no longer finds a majority of the gateway set reachable. */
    suspend fun majorityLost(): Unit = mailbox.send(ControlMessage.MajorityLost)

    /** The stamp to send to peers, see [ControlView.stamp]. */
    fun stamp(): ConfirmationStamp? = published.value.stamp(clock.now())

    private suspend fun collectEvents(kind: ObjectKind, translate: (WatchEvent, Duration) -> ControlMessage?) {
        var requestedAt = clock.now()
        watch(kind).collect { event ->
            translate(event, requestedAt)?.let { mailbox.send(it) }
            if (event is WatchEvent.Unavailable) {
                logger.warn { eventLine("watch_unavailable", "kind" to kind, "detail" to event.detail) }
            }
            requestedAt = clock.now()
        }
    }

    private fun carryOut(effect: ControlEffect) {
        when (effect) {
            is ControlEffect.RequestPeerState -> requestPeerState(effect.peer)
            ControlEffect.RequestSeedPeerStates -> requestSeedPeerStates()
            is ControlEffect.Adopted -> logger.info {
                eventLine(
                    "control_adopted",
                    "bundle" to effect.bundle,
                    "overrides" to effect.overrides,
                    "vms" to effect.leaving,
                )
            }
            is ControlEffect.OutdatedResponse -> logger.warn {
                eventLine("control_answer_outdated", "bundle" to effect.bundle, "overrides" to effect.overrides)
            }
        }
    }
}
