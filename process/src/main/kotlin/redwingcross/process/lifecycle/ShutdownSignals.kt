package redwingcross.process.lifecycle

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sun.misc.Signal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Turns SIGTERM and SIGINT into requests to stop, and keeps the JVM alive until the drain is over.
 *
 * The JVM runs its shutdown hooks on the first signal and ignores further ones, so a hook alone could not end at once
 * on the second signal. The hook covers an exit that has another cause than a signal; it waits at most [hookLimit].
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
