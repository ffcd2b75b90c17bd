package redwingcross.process.lifecycle

import redwingcross.process.membership.ProcessRole
import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times of a planned stop. */
class ShutdownSettings(
    /** How long callers use the list of addresses that they were given. */
    val addressLifetime: Duration = 10.seconds,
    /** Time in which the other gateways hear that this one is leaving. */
    val announceMargin: Duration = 5.seconds,
    /** No request runs longer than 120 s, so a request that still runs after this time is stuck. */
    val drainLimit: Duration = 125.seconds,
    /** Leases that are not released by then expire by themselves. */
    val releaseLimit: Duration = 5.seconds,
)

/** How far a planned stop has come. */
sealed interface ShutdownPhase {
    data object Running : ShutdownPhase

    /** Leaving was announced; requests are still accepted until [until]. */
    data class Announced(val until: Duration) : ShutdownPhase

    /** No request is accepted; those that run may finish until [until]. */
    data class Draining(val until: Duration) : ShutdownPhase

    data class ReleasingLeases(val until: Duration) : ShutdownPhase

    data object Finished : ShutdownPhase
}

/** Phase of the stop and number of running requests. */
data class ShutdownState(val phase: ShutdownPhase = ShutdownPhase.Running, val inFlight: Int = 0)

/** Input of the shutdown decision. */
sealed interface ShutdownMessage {
    /** The process was asked to stop; a second time means at once. */
    data object StopRequested : ShutdownMessage

    data object Tick : ShutdownMessage

    data class InFlight(val requests: Int) : ShutdownMessage

    data object LeasesReleased : ShutdownMessage
}

/** What the life cycle task has to do, in order. */
sealed interface ShutdownEffect {
    data object AnnounceLeaving : ShutdownEffect

    data object StopAccepting : ShutdownEffect

    data object ReleaseLeases : ShutdownEffect

    /** Tells the members that this process is gone. */
    data object AnnounceLeft : ShutdownEffect

    /** [cut] requests or leases were still open; the exit code is 0 only without any. */
    data class Exit(val cut: Int, val isImmediate: Boolean = false) : ShutdownEffect
}

/**
 * Decides the steps of a planned stop. A gateway keeps accepting requests until no caller can hold a list that names
 * it, so that the stop cuts no request and refuses none. A controller gives its leases to others first.
 */
class Shutdown(private val role: ProcessRole, private val settings: ShutdownSettings = ShutdownSettings()) {
    /** One step; ticks are expected about every 100 ms. */
    fun step(
        state: ShutdownState,
        message: ShutdownMessage,
        now: Duration,
    ): Transition<ShutdownState, ShutdownEffect> = when (message) {
        ShutdownMessage.StopRequested -> stopRequested(state, now)
        ShutdownMessage.Tick -> tick(state, now)
        is ShutdownMessage.InFlight -> tick(state.copy(inFlight = message.requests), now)
        ShutdownMessage.LeasesReleased ->
            if (state.phase is ShutdownPhase.ReleasingLeases) finish(state, cut = 0) else state.with()
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
            is ShutdownPhase.ReleasingLeases -> if (now >= phase.until) finish(state, cut = 1) else state.with()
            ShutdownPhase.Running, ShutdownPhase.Finished -> state.with()
        }

    private fun finish(state: ShutdownState, cut: Int): Transition<ShutdownState, ShutdownEffect> = state
        .copy(phase = ShutdownPhase.Finished)
        .with(ShutdownEffect.AnnounceLeft, ShutdownEffect.Exit(cut))
}
