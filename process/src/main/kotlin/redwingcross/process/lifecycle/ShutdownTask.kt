package redwingcross.process.lifecycle

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import redwingcross.process.membership.ProcessRole
import redwingcross.request.MonotonicClock
import redwingcross.request.eventLine
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a program does in each step of its stop. */
class ShutdownActions(
    /** Leaves the list of callers' addresses and tells the members. */
    val announceLeaving: suspend () -> Unit = {},
    /** Closes the listener for callers; running requests go on. */
    val stopAccepting: suspend () -> Unit = {},
    /** Returns when the leases are released or the platform refused. */
    val releaseLeases: suspend () -> Unit = {},
    val announceLeft: suspend () -> Unit = {},
    /** Requests that run now. */
    val inFlight: () -> Int = { 0 },
)

/** Exit code of a stop that cut nothing. */
const val EXIT_DRAINED = 0

/** Exit code of a stop that cut requests, left leases behind or was told to end at once. */
const val EXIT_CUT = 1

/** Owns the phase of the stop and carries out its steps. */
class ShutdownTask(
    role: ProcessRole,
    private val actions: ShutdownActions,
    settings: ShutdownSettings = ShutdownSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val shutdown = Shutdown(role, settings)
    private var state = ShutdownState()
    private val mailbox = Channel<ShutdownMessage>(MAILBOX)
    private val exitCode = CompletableDeferred<Int>()

    /** Completed with the exit code when the process may end. */
    val finished: Deferred<Int> get() = exitCode

    /** Asks for a stop; the second time ends it at once. Safe to call from a signal handler. */
    fun requestStop() {
        mailbox.trySend(ShutdownMessage.StopRequested)
    }

    /** Runs until the process may end or the coroutine is cancelled. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { tick() }
                for (message in mailbox) {
                    step(message, this)
                    if (exitCode.isCompleted) break
                }
                coroutineContext.cancelChildren()
            }
        } finally {
            // A shutdown hook that waits for the drain must not wait for a task that no longer runs.
            exitCode.complete(EXIT_CUT)
        }
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK)
            mailbox.send(ShutdownMessage.InFlight(actions.inFlight()))
        }
    }

    private suspend fun step(message: ShutdownMessage, scope: CoroutineScope) {
        val (next, effects) = shutdown.step(state, message, clock.now())
        if (next.phase !=
            state.phase
        ) {
            logger.info { eventLine("shutdown_phase", "phase" to next.phase, "inFlight" to next.inFlight) }
        }
        state = next
        for (effect in effects) carryOut(effect, scope)
    }

    private suspend fun carryOut(effect: ShutdownEffect, scope: CoroutineScope) {
        when (effect) {
            // Each runs beside the task, so that a second request to stop is never delayed by a slow action.
            ShutdownEffect.AnnounceLeaving -> scope.launch { actions.announceLeaving() }
            ShutdownEffect.StopAccepting -> scope.launch { actions.stopAccepting() }
            ShutdownEffect.ReleaseLeases ->
                scope.launch {
                    actions.releaseLeases()
                    mailbox.send(ShutdownMessage.LeasesReleased)
                }
            ShutdownEffect.AnnounceLeft -> withTimeoutOrNull(FAREWELL) { actions.announceLeft() }
            is ShutdownEffect.Exit ->
                exitCode.complete(if (effect.cut == 0 && !effect.isImmediate) EXIT_DRAINED else EXIT_CUT)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAILBOX = 16
        val TICK = 100.milliseconds

        /** The members also notice the end by themselves, so the exit doesn't wait long. */
        val FAREWELL = 1.seconds
    }
}
