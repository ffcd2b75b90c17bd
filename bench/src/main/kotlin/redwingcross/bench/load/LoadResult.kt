package redwingcross.bench.load

import org.HdrHistogram.Histogram
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeSource

private const val PRECISION = 3

/** What the callers of one line saw; times are in microseconds. */
internal class Load {
    val firstToken = Histogram(PRECISION)
    val gap = Histogram(PRECISION)
    var completed = 0
    var failed = 0
    var tokens = 0L
    var elapsed = Duration.ZERO

    fun add(other: Load) {
        firstToken.add(other.firstToken)
        gap.add(other.gap)
        completed += other.completed
        failed += other.failed
        tokens += other.tokens
    }
}

/**
 * Keeps [streams] streams open until [requests] requests ran or [limit] has passed. An answer that is refused, cut or
 * does not have [tokens] tokens counts as failed.
 */
internal fun measure(call: StreamCall, streams: Int, requests: Int, tokens: Int, limit: Duration): Load {
    val left = AtomicInteger(requests)
    val start = TimeSource.Monotonic.markNow()
    val total = Load()
    // Each thread has its own histograms, so that recording takes no lock.
    val worker = Callable {
        Load().also { load ->
            while (start.elapsedNow() < limit && left.getAndDecrement() > 0) load.request(call, tokens)
        }
    }
    val threads = Executors.newFixedThreadPool(streams)
    try {
        threads.invokeAll(List(streams) { worker }).forEach { total.add(it.get()) }
    } finally {
        threads.shutdownNow()
    }
    total.elapsed = start.elapsedNow()
    return total
}

private fun Load.request(call: StreamCall, expected: Int) {
    var last = TimeSource.Monotonic.markNow()
    var count = 0
    val isComplete = call {
        val now = TimeSource.Monotonic.markNow()
        (if (count == 0) firstToken else gap).recordValue((now - last).inWholeMicroseconds)
        last = now
        count++
    }
    tokens += count
    if (isComplete && count == expected) completed++ else failed++
}
