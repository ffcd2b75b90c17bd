package redwingcross.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.http4k.server.Http4kServer
import redwingcross.process.gossip.MembershipTask
import redwingcross.process.lifecycle.ShutdownActions
import redwingcross.process.lifecycle.ShutdownTask
import redwingcross.process.lifecycle.installSignalHandlers
import redwingcross.process.membership.ProcessRole
import redwingcross.request.MonotonicClock

/** The planned stop of a gateway: leaves the list of addresses, goes on serving, then drains. */
internal class GatewayShutdown(
    private val announceLeaving: suspend () -> Unit,
    private val membership: MembershipTask,
    private val callers: Http4kServer,
    private val awaitCalls: suspend () -> Unit,
    private val runningRequests: () -> Int,
    clock: MonotonicClock,
) {
    /** Set once no caller's exchange and no non-idempotent call is running any more. */
    @Volatile
    private var isDrained = false

    private val task = ShutdownTask(
        ProcessRole.GATEWAY,
        ShutdownActions(
            announceLeaving = announceLeaving,
            stopAccepting = ::drain,
            announceLeft = { membership.leave() },
            inFlight = { if (isDrained) 0 else maxOf(1, runningRequests()) },
        ),
        clock = clock,
    )

    /** Waits for a signal and carries out the stop; returns the exit code. */
    suspend fun await(scope: CoroutineScope): Int {
        task.installSignalHandlers()
        scope.launch { task.run() }
        return task.finished.await()
    }

    private suspend fun drain() {
        withContext(Dispatchers.IO) { callers.stop() }
        awaitCalls()
        isDrained = true
    }
}
