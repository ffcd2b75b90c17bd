package redwingcross.connection.http

import io.netty.util.concurrent.EventExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val epochNanos = System.nanoTime()

/**
 * Runs [action] each [period] until the event loop ends. Actions whose periods are multiples of each other are due at
 * the same moments, so that one wake-up of the process serves several. Runs that were missed while the process was
 * suspended are not made up for.
 */
fun EventExecutor.runEach(period: Duration, action: () -> Unit) {
    schedule(
        {
            runEach(period, action)
            // Netty logs the exception of a task, but not that of a timer.
            execute(action)
        },
        nanosUntilNextRun(System.nanoTime() - epochNanos, period),
        TimeUnit.NANOSECONDS,
    )
}

/** Time until the next multiple of [period] after [elapsedNanos]. */
internal fun nanosUntilNextRun(elapsedNanos: Long, period: Duration): Long {
    val nanos = period.inWholeNanoseconds
    return nanos - elapsedNanos % nanos
}
