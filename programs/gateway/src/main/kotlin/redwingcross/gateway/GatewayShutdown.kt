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

/**
 * Graceful shutdown of a gateway. Announces that the gateway is leaving, so that callers no longer get its address,
 * serves on for a while, then stops accepting requests and waits for those in flight.
 */
internal class GatewayShutdown(
    private val announceLeaving: suspend () -> Unit,
    private val membership: MembershipTask,
    private val callerServer: Http4kServer,
    private val awaitCalls: suspend () -> Unit,
    private val runningRequests: () -> Int,
    clock: MonotonicClock,
) {
    /** True once no caller's exchange and no non-idempotent call is in flight. */
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

    /** Waits for a signal, shuts the gateway down and returns the exit code. */
    suspend fun await(scope: CoroutineScope): Int {
        task.installSignalHandlers()
        scope.launch { task.run() }
        return task.finished.await()
    }

    private suspend fun drain() {
        withContext(Dispatchers.IO) { callerServer.stop() }
        awaitCalls()
        isDrained = true
    }
}
