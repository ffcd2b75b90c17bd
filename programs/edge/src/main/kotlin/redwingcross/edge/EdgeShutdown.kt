package redwingcross.edge

import redwingcross.connection.http.runEvery
import redwingcross.process.edge.GatewayTask
import redwingcross.process.edge.LogEvent
import redwingcross.request.MonotonicClock
import redwingcross.version.forwarding.CancelTimer
import kotlin.time.Duration

/** Connects the [StopSequence] of an edge process with its gateway and its listeners. */
internal class EdgeShutdown(
    private val gateway: GatewayTask,
    private val listeners: EdgeListeners,
    private val clock: MonotonicClock,
    private val runLater: (Duration, () -> Unit) -> CancelTimer,
    private val log: LogEvent,
    private val endProcess: () -> Unit,
) {
    /** Starts to stop the process, which the platform kills after [grace]; see [StopSequence]. */
    fun start(grace: Duration, listLifetime: Duration) {
        val progress = StopProgress(
            runningRequests = { gateway.runningRequests },
            holdsRequests = { listeners.holdsRequests },
            hasUnsentBytes = { listeners.hasUnsentBytes },
        )
        StopSequence(grace, listLifetime, clock, runLater, progress, actions()).start()
    }

    private fun actions() = StopActions(
        limitRequests = gateway::stop,
        closeGracefully = listeners::closeCallersGracefully,
        endRequests = {
            log("requests_ended", arrayOf("running" to gateway.runningRequests))
            runEvery(gateway::endRequests, listeners::stopAcceptingCallers)
        },
        receiveRequests = listeners::receiveFromCallers,
        endProcess = {
            log("stopped", arrayOf("running" to gateway.runningRequests))
            endProcess()
        },
    )
}
