package redwingcross.process.lifecycle

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sun.misc.Signal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Handles SIGTERM and SIGINT as stop requests, and keeps the JVM alive until the drain has finished.
 *
 * Signal handlers are needed because the JVM runs its shutdown hooks on the first signal and ignores further signals,
 * so a hook could not stop the process immediately on the second signal. The additional shutdown hook handles an exit
 * that was not caused by a signal; it waits at most [hookLimit].
 */
fun ShutdownTask.installSignalHandlers(hookLimit: Duration = 150.seconds) {
    for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { requestStop() }
    val hook = {
        if (!finished.isCompleted) {
            requestStop()
            runBlocking { withTimeoutOrNull(hookLimit) { finished.await() } }
        }
    }
    Runtime.getRuntime().addShutdownHook(Thread(hook, "shutdown"))
}
