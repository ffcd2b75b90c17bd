package redwingcross.bench.load

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.DurationUnit

private const val FORMAT = "%-8s %7s %9s %6s  %8s %8s %8s  %8s %8s %8s  %9s %8s  %12s %12s"
private const val MICROSECONDS = 1_000.0

/**
 * First-token times and gaps are in milliseconds. The processor time is that of the whole gateway process during the
 * line; on direct lines it is the idle load, which the time for each request of the gateway lines includes.
 */
internal val LOAD_HEADER = FORMAT.format(
    "path", "streams", "completed", "failed", "first50", "first95", "first99", "gap50", "gap95", "gap99",
    "tokens/s", "req/s", "gwCpuMs/s", "gwCpuMs/req",
)

internal fun loadLine(path: String, streams: Int, load: Load, processor: Duration): String {
    val seconds = load.elapsed.toDouble(DurationUnit.SECONDS)
    val processorMillis = processor.toDouble(DurationUnit.MILLISECONDS)
    val perRequest = if (path == "gateway") decimal(processorMillis / (load.completed + load.failed)) else "-"
    return FORMAT.format(
        path, streams, load.completed, load.failed,
        load.firstToken.millis(50.0), load.firstToken.millis(95.0), load.firstToken.millis(99.0),
        load.gap.millis(50.0), load.gap.millis(95.0), load.gap.millis(99.0),
        decimal(
            load.tokens / seconds,
        ),
        decimal(load.completed / seconds), decimal(processorMillis / seconds), perRequest,
    )
}

private fun Histogram.millis(percentile: Double) = decimal(getValueAtPercentile(percentile) / MICROSECONDS)

private fun decimal(value: Double) = "%.2f".format(value)
