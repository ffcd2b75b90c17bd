package redwingcross.controller

import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import redwingcross.process.membership.ProcessRole
import redwingcross.process.node.NodeCommand
import redwingcross.request.MonotonicClock
import kotlin.time.Duration.Companion.seconds

/** Command line of `redwingcross-controller`. */
internal class ControllerCommand(environment: (String) -> String? = System::getenv) :
    NodeCommand("redwingcross-controller", "Forms and repairs serving groups.", environment) {
    override suspend fun start() {
        val clock = MonotonicClock.system
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val controller = Controller(
            member = member(ProcessRole.CONTROLLER, caller = null, clock),
            seeds = seedEndpoints,
            store = openPlatform(scope, clock) { longPollWait },
            operator = operator.value,
            scope = scope,
            clock = clock,
        )
        val exitCode = controller.run()
        if (exitCode != 0) throw ProgramResult(exitCode)
    }

    private companion object {
        /**
         * Longest wait of a watch request. Changes end the wait at once. A controller admits no requests, so its view
         * does not need frequent confirmation.
         */
        val longPollWait = 20.seconds
    }
}
