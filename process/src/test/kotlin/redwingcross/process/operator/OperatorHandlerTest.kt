package redwingcross.process.operator

import kotlinx.serialization.json.JsonPrimitive
import org.http4k.core.Method.GET
import org.http4k.core.Request
import org.http4k.core.Status
import redwingcross.process.metrics.ProcessMetrics
import redwingcross.process.state.StateDump
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against answers to operators that do not reflect the current state or have no size limit. */
class OperatorHandlerTest {
    private var ready = false
    private val metrics = ProcessMetrics(maximumSeries = 2)
    private val state = StateDump(
        mapOf("small" to { JsonPrimitive(ready) }, "large" to { JsonPrimitive("x".repeat(100)) }),
        maximumLength = 50,
    )
    private val handler = operatorHandler({ Readiness(ready, "no platform for 3s") }, state, metrics)

    @Test
    fun `a process that is not ready is still live`() {
        assertEquals(Status.OK, get("/health/live").status)
        assertEquals(Status.SERVICE_UNAVAILABLE, get("/health/ready").status)
        ready = true
        assertEquals(Status.OK, get("/health/ready").status)
    }

    @Test
    fun `a section that exceeds the maximum length is replaced by its length`() {
        assertEquals("""{"small":false,"large":{"omitted":true,"length":102}}""", get("/state").bodyString())
        assertEquals("""{"small":false}""", get("/state?section=small").bodyString())
        assertEquals(Status.NOT_FOUND, get("/state?section=none").status)
    }

    @Test
    fun `label values beyond the maximum number of series are counted as other`() {
        listOf("a", "b", "c", "d").forEach { metrics.count("requests", mapOf("customer" to it)) }

        val lines = get("/metrics").bodyString().lines().filter { it.startsWith("requests_total") }

        assertEquals(3, lines.size, lines.joinToString())
        assertTrue(lines.any { "other" in it && it.endsWith(" 2.0") }, lines.joinToString())
    }

    private fun get(path: String) = handler(Request(GET, path))
}
