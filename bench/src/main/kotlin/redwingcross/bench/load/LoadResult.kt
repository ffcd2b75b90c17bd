package redwingcross.bench.load

import org.HdrHistogram.Histogram
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeSource

private const val SIGNIFICANT_DIGITS = 3

/** Measurements of the callers of one line; the histograms are in microseconds. */
internal class LoadResult {
    val firstTokenTimes = Histogram(SIGNIFICANT_DIGITS)
    val tokenGaps = Histogram(SIGNIFICANT_DIGITS)
    var completed = 0
    var failed = 0
    var tokens = 0L
    var elapsed = Duration.ZERO

    fun add(other: LoadResult) {
        firstTokenTimes.add(other.firstTokenTimes)
        tokenGaps.add(other.tokenGaps)
        completed += other.completed
        failed += other.failed
        tokens += other.tokens
    }
}

/**
 * Keeps [streams] streams open until [requests] requests were sent or [timeLimit] has passed. A response that is
 * refused, cut or does not have [tokens] tokens counts as failed.
 */
internal fun measureLoad(call: StreamCall, streams: Int, requests: Int, tokens: Int, timeLimit: Duration): LoadResult {
    val remaining = AtomicInteger(requests)
    val start = TimeSource.Monotonic.markNow()
    val total = LoadResult()
    // Each thread records into its own histograms, so that recording needs no lock.
    val worker = Callable {
        LoadResult().also { result ->
            while (start.elapsedNow() < timeLimit && remaining.getAndDecrement() > 0) result.recordRequest(call, tokens)
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

private fun LoadResult.recordRequest(call: StreamCall, expected: Int) {
    var last = TimeSource.Monotonic.markNow()
    var count = 0
    val isComplete = call {
        val now = TimeSource.Monotonic.markNow()
        (if (count == 0) firstTokenTimes else tokenGaps).recordValue((now - last).inWholeMicroseconds)
        last = now
        count++
    }
    tokens += count
    if (isComplete && count == expected) completed++ else failed++
}
