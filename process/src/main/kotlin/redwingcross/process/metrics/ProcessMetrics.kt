package redwingcross.process.metrics

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import java.time.Duration as JavaDuration

/** Counts an event by its labels. */
typealias CountEvent = (name: String, labels: Map<String, String>) -> Unit

/** Records a duration by its labels. */
typealias RecordDuration = (name: String, labels: Map<String, String>, duration: Duration) -> Unit

/**
 * Metrics of a process in the Prometheus text format. Each metric keeps at most [maximumSeries] combinations of
 * labels, so that input from callers can't fill the memory; further ones count under the label value `other`.
 */
class ProcessMetrics(private val maximumSeries: Int = DEFAULT_MAXIMUM_SERIES) : AutoCloseable {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val collection = JvmGcMetrics().also { it.bindTo(registry) }
    private val series = SeriesLimit(maximumSeries)

    init {
        JvmMemoryMetrics().bindTo(registry)
        JvmThreadMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Adds one to a counter. */
    val count: CountEvent = { name, labels -> registry.counter(name, tags(name, labels)).increment() }

    /** Adds a duration to a timer with a histogram. */
    @Suppress("SpreadOperator") // Timers take their dozen bounds as variable arguments only.
    val record: RecordDuration = { name, labels, duration ->
        Timer.builder(name).tags(tags(name, labels)).serviceLevelObjectives(*buckets).register(registry)
            .record(duration.toJavaDuration())
    }

    /** Shows the value of [read] at each scrape. */
    fun gauge(name: String, labels: Map<String, String> = emptyMap(), read: () -> Number) {
        Gauge.builder(name) { read() }.strongReference(true)
            .also { builder -> labels.forEach { (key, value) -> builder.tag(key, value) } }
            .register(registry)
    }

    /** All metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    override fun close() {
        collection.close()
        registry.close()
    }

    private fun tags(name: String, labels: Map<String, String>): List<Tag> {
        val admitted = series.admit(name, labels)
        return admitted.map { (key, value) -> Tag.of(key, value) }
    }

    private companion object {
        const val DEFAULT_MAXIMUM_SERIES = 500

        /** Upper bounds of the histograms: around the usual objectives, and up to the longest timeout. */
        val buckets = listOf(5L, 25, 50, 100, 200, 300, 500, 1000, 2000, 4000, 8000)
            .map { JavaDuration.ofMillis(it) }
            .toTypedArray()
    }
}
