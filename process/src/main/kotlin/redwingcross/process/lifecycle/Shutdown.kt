package redwingcross.process.lifecycle

import redwingcross.process.membership.ProcessRole
import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeouts of a graceful shutdown. */
class ShutdownSettings(
    /** How long callers cache the list of addresses that they received. */
    val addressLifetime: Duration = 10.seconds,
    /** Time that the announcement of leaving needs to reach the other gateways. */
    val announceMargin: Duration = 5.seconds,
    /** Maximum duration of the drain. No request runs longer than 120 s, so one that is still running is stuck. */
    val drainLimit: Duration = 125.seconds,
    /** Maximum time for the release of leases; a lease that is not released by then expires later. */
    val releaseLimit: Duration = 5.seconds,
)

/** Phase of a graceful shutdown. The log contains its `toString`; times are readings of the process clock. */
sealed interface ShutdownPhase {
    /** No shutdown was requested. */
    data object Running : ShutdownPhase

    /** Leaving was announced; requests are still accepted until [until]. */
    data class Announced(val until: Duration) : ShutdownPhase

    /** No new requests are accepted; requests in flight may finish until [until]. */
    data class Draining(val until: Duration) : ShutdownPhase

    /** A controller releases its leases; it exits when they are released, or at [until]. */
    data class ReleasingLeases(val until: Duration) : ShutdownPhase

    /** The process may exit. */
    data object Finished : ShutdownPhase
}

/** State of the shutdown: its phase and the number of requests in flight. */
data class ShutdownState(val phase: ShutdownPhase = ShutdownPhase.Running, val inFlight: Int = 0)

/** Input of [Shutdown]. */
sealed interface ShutdownMessage {
    /** A stop was requested; a second request stops the process immediately. */
    data object StopRequested : ShutdownMessage

    /** Timer tick. */
    data object Tick : ShutdownMessage

    /** Number of requests in flight; also counts as a timer tick. */
    data class InFlight(val requests: Int) : ShutdownMessage

    /** All leases were released. */
    data object LeasesReleased : ShutdownMessage
}

/** Action that [ShutdownTask] carries out; the actions of one step are carried out in order. */
sealed interface ShutdownEffect {
    /** Announces to the members that this process is about to stop. */
    data object AnnounceLeaving : ShutdownEffect

    /** Closes the listener for callers. */
    data object StopAccepting : ShutdownEffect

    /** Releases the leases that this process holds; [ShutdownMessage.LeasesReleased] follows. */
    data object ReleaseLeases : ShutdownEffect

    /** Announces to the members that this process has left. */
    data object AnnounceLeft : ShutdownEffect

    /** Ends the process. [openCount] requests or leases were still open; the exit code is 0 only if there were none. */
    data class Exit(val openCount: Int, val isImmediate: Boolean = false) : ShutdownEffect
}

/**
 * State machine of a graceful shutdown. A gateway accepts requests until every cached list of addresses that contains
 * it has expired, so that no request is interrupted or refused. A controller releases its leases first.
 */
class Shutdown(private val role: ProcessRole, private val settings: ShutdownSettings = ShutdownSettings()) {
    /** Applies one message at [now] on the process clock; ticks are expected about every 100 ms. */
    fun step(
        state: ShutdownState,
        message: ShutdownMessage,
        now: Duration,
    ): Transition<ShutdownState, ShutdownEffect> = when (message) {
        ShutdownMessage.StopRequested -> stopRequested(state, now)
        ShutdownMessage.Tick -> tick(state, now)
        is ShutdownMessage.InFlight -> tick(state.copy(inFlight = message.requests), now)
        ShutdownMessage.LeasesReleased ->
            if (state.phase is ShutdownPhase.ReleasingLeases) finish(state, openCount = 0) else state.with()
    }

    private fun stopRequested(state: ShutdownState, now: Duration): Transition<ShutdownState, ShutdownEffect> = when {
        state.phase == ShutdownPhase.Finished -> state.with()
        state.phase != ShutdownPhase.Running ->
            state.copy(phase = ShutdownPhase.Finished).with(
                ShutdownEffect.Exit(state.inFlight, isImmediate = true),
            )
        role == ProcessRole.GATEWAY ->
            state
                .copy(phase = ShutdownPhase.Announced(now + settings.addressLifetime + settings.announceMargin))
                .with(ShutdownEffect.AnnounceLeaving)
        else ->
            state
                .copy(phase = ShutdownPhase.ReleasingLeases(now + settings.releaseLimit))
                .with(ShutdownEffect.ReleaseLeases, ShutdownEffect.AnnounceLeaving)
    }

    private fun tick(state: ShutdownState, now: Duration): Transition<ShutdownState, ShutdownEffect> =
        when (val phase = state.phase) {
            is ShutdownPhase.Announced ->
                if (now >= phase.until) {
                    state
                        .copy(phase = ShutdownPhase.Draining(now + settings.drainLimit))
                        .with(ShutdownEffect.StopAccepting)
                } else {
                    state.with()
                }
            is ShutdownPhase.Draining ->
                if (state.inFlight == 0 || now >= phase.until) finish(state, state.inFlight) else state.with()
            is ShutdownPhase.ReleasingLeases -> if (now >= phase.until) finish(state, openCount = 1) else state.with()
            ShutdownPhase.Running, ShutdownPhase.Finished -> state.with()
        }

    private fun finish(state: ShutdownState, openCount: Int): Transition<ShutdownState, ShutdownEffect> = state
        .copy(phase = ShutdownPhase.Finished)
        .with(ShutdownEffect.AnnounceLeft, ShutdownEffect.Exit(openCount))
}
