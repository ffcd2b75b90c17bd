package redwingcross.process.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import java.time.Duration as JavaDuration

/** Increments the counter of a metric and its labels. */
typealias CountEvent = (name: String, labels: Map<String, String>) -> Unit

/** Records a duration in the timer of a metric and its labels. */
typealias RecordDuration = (name: String, labels: Map<String, String>, duration: Duration) -> Unit

/**
 * Metrics of a process in the Prometheus text format. Each metric has at most [maximumSeries] combinations of label
 * values, so that input from callers can't exhaust the memory; further ones are counted with the label value `other`.
 */
class ProcessMetrics(private val maximumSeries: Int = DEFAULT_MAXIMUM_SERIES) : AutoCloseable {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private var gcMetrics: JvmGcMetrics? = null
    private val seriesLimit = SeriesLimit(maximumSeries)

    // Looking up a meter in the registry costs many times more than recording a value.
    private val counters = ConcurrentHashMap<Series, Counter>()
    private val timers = ConcurrentHashMap<Series, Timer>()

    private data class Series(val name: String, val labels: Map<String, String>)

    /** Increments a counter by one. */
    val count: CountEvent = { name, labels ->
        meter(counters, name, labels) { registry.counter(name, it) }.increment()
    }

    /** Records a duration in a timer with a histogram. */
    val record: RecordDuration = { name, labels, duration ->
        meter(timers, name, labels) { timer(name, it) }.record(duration.toJavaDuration())
    }

    /** Registers a gauge whose value is read with [read] at each scrape. */
    fun gauge(name: String, labels: Map<String, String> = emptyMap(), read: () -> Number) {
        Gauge.builder(name) { read() }.strongReference(true)
            .also { builder -> labels.forEach { (key, value) -> builder.tag(key, value) } }
            .register(registry)
    }

    /** All metrics in the Prometheus text format. */
    fun scrape(): String {
        bindRuntimeMetrics()
        return registry.scrape()
    }

    /** Loads the management interface of the JVM, which costs as much as a tenth of a start, only when it is needed. */
    @Synchronized
    private fun bindRuntimeMetrics() {
        if (gcMetrics != null) return
        gcMetrics = JvmGcMetrics().also { it.bindTo(registry) }
        JvmMemoryMetrics().bindTo(registry)
        JvmThreadMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    @Synchronized
    override fun close() {
        gcMetrics?.close()
        registry.close()
    }

    /** The meter of [name] and [labels]; [register] is called for label values that are seen for the first time. */
    private fun <Meter : Any> meter(
        known: ConcurrentHashMap<Series, Meter>,
        name: String,
        labels: Map<String, String>,
        register: (List<Tag>) -> Meter,
    ): Meter {
        known[Series(name, labels)]?.let { return it }
        val admitted = seriesLimit.admit(name, labels)
        val meter = register(admitted.map { (key, value) -> Tag.of(key, value) })
        known[Series(name, admitted)] = meter
        return meter
    }

    @Suppress("SpreadOperator") // Timer.Builder accepts the bucket bounds only as variable arguments.
    private fun timer(name: String, tags: List<Tag>): Timer =
        Timer.builder(name).tags(tags).serviceLevelObjectives(*buckets).register(registry)

    private companion object {
        const val DEFAULT_MAXIMUM_SERIES = 500

        /** Upper bounds of the histogram buckets: dense around common latency objectives, up to the longest timeout. */
        val buckets = listOf(5L, 25, 50, 100, 200, 300, 500, 1000, 2000, 4000, 8000)
            .map { JavaDuration.ofMillis(it) }
            .toTypedArray()
    }
}
