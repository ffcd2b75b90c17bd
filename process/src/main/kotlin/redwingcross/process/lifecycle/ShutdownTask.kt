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

/** Actions of a program in the steps of its shutdown. */
class ShutdownActions(
    /** Removes this process from the address list for callers and announces its leaving to the members. */
    val announceLeaving: suspend () -> Unit = {},
    /** Closes the listener for callers; requests in flight continue. */
    val stopAccepting: suspend () -> Unit = {},
    /** Returns when the leases are released or the platform has rejected the release. */
    val releaseLeases: suspend () -> Unit = {},
    /** Announces to the members that this process has left. */
    val announceLeft: suspend () -> Unit = {},
    /** Number of requests in flight. */
    val inFlight: () -> Int = { 0 },
)

/** Exit code of a shutdown that interrupted no request and released all leases. */
const val EXIT_DRAINED = 0

/** Exit code of a shutdown that interrupted requests, did not release all leases or was requested twice. */
const val EXIT_INCOMPLETE = 1

/** Owns the shutdown state of the process and carries out the effects of [Shutdown]. */
class ShutdownTask(
    role: ProcessRole,
    private val actions: ShutdownActions,
    settings: ShutdownSettings = ShutdownSettings(),
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val shutdown = Shutdown(role, settings)
    private var state = ShutdownState()
    private val mailbox = Channel<ShutdownMessage>(MAILBOX_CAPACITY)
    private val exitCode = CompletableDeferred<Int>()

    /** Completes with the exit code when the process may exit. */
    val finished: Deferred<Int> get() = exitCode

    /** Requests a graceful shutdown; a second call ends it immediately. Safe to call from a signal handler. */
    fun requestStop() {
        mailbox.trySend(ShutdownMessage.StopRequested)
    }

    /** Runs until the process may exit or the coroutine is cancelled. */
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
            // A shutdown hook that awaits the exit code must not wait for a task that no longer runs.
            exitCode.complete(EXIT_INCOMPLETE)
        }
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_INTERVAL)
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
            // Actions run concurrently with the task, so that a slow one does not delay a second stop request.
            ShutdownEffect.AnnounceLeaving -> scope.launch { actions.announceLeaving() }
            ShutdownEffect.StopAccepting -> scope.launch { actions.stopAccepting() }
            ShutdownEffect.ReleaseLeases ->
                scope.launch {
                    actions.releaseLeases()
                    mailbox.send(ShutdownMessage.LeasesReleased)
                }
            ShutdownEffect.AnnounceLeft -> withTimeoutOrNull(ANNOUNCE_LEFT_TIMEOUT) { actions.announceLeft() }
            is ShutdownEffect.Exit ->
                exitCode.complete(if (effect.openCount == 0 && !effect.isImmediate) EXIT_DRAINED else EXIT_INCOMPLETE)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAILBOX_CAPACITY = 16
        val TICK_INTERVAL = 100.milliseconds

        /** Short, because the members also detect without an announcement that this process has ended. */
        val ANNOUNCE_LEFT_TIMEOUT = 1.seconds
    }
}
