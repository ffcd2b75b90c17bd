package redwingcross.bench.load

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.DurationUnit

private const val FORMAT = "%-8s %7s %9s %6s  %8s %8s %8s  %8s %8s %8s  %9s %8s  %12s %12s"
private const val MICROSECONDS = 1_000.0

/**
 * First-token times and gaps between tokens are in milliseconds. The processor time is that of the whole gateway
 * process while the line was measured. On direct lines it is the idle load, which the time per request on gateway lines
 * includes.
 */
internal val LOAD_HEADER = FORMAT.format(
    "path", "streams", "completed", "failed", "first50", "first95", "first99", "gap50", "gap95", "gap99",
    "tokens/s", "req/s", "gwCpuMs/s", "gwCpuMs/req",
)

internal fun loadLine(path: String, streams: Int, result: LoadResult, processorTime: Duration): String {
    val seconds = result.elapsed.toDouble(DurationUnit.SECONDS)
    val processorMillis = processorTime.toDouble(DurationUnit.MILLISECONDS)
    val perRequest = if (path == "gateway") decimal(processorMillis / (result.completed + result.failed)) else "-"
    return FORMAT.format(
        path, streams, result.completed, result.failed,
        result.firstTokenTimes.millis(50.0), result.firstTokenTimes.millis(95.0), result.firstTokenTimes.millis(99.0),
        result.tokenGaps.millis(50.0), result.tokenGaps.millis(95.0), result.tokenGaps.millis(99.0),
        decimal(
            result.tokens / seconds,
        ),
        decimal(result.completed / seconds), decimal(processorMillis / seconds), perRequest,
    )
}

private fun Histogram.millis(percentile: Double) = decimal(getValueAtPercentile(percentile) / MICROSECONDS)

private fun decimal(value: Double) = "%.2f".format(value)
