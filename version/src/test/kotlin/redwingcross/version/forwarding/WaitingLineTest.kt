package redwingcross.version.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that are refused although a place comes free a moment later, against requests that are held
 * although no place can come in time, and against callers that all return at the same moment.
 */
class WaitingLineTest {
    private fun request(
        task: String,
        until: Duration = 300.milliseconds,
        priority: Int = 1,
        isResuming: Boolean = false,
    ) = WaitingRequest(task, "model", priority, isResuming, until)

    private fun lineOf(vararg requests: WaitingRequest<String>): WaitingLine<String> =
        requests.fold(WaitingLine()) { line, request -> assertNotNull(line.with(request, null, Duration.ZERO)) }

    @Test
    fun `streams that lost their group come first, then urgent requests, then those whose time ends first`() {
        val line = lineOf(
            request("late", until = 400.milliseconds),
            request("early", until = 200.milliseconds),
            request("urgent", until = 500.milliseconds, priority = 0),
            request("resuming", until = 1.seconds, priority = 2, isResuming = true),
        )
        assertEquals(listOf("resuming", "urgent", "early", "late"), line.waiting.map { it.task })
    }

    @Test
    fun `a request is refused at once if too few places come free before its time ends`() {
        val ahead = (1..6).map { request("r$it") }.toTypedArray()
        val line = lineOf(*ahead)
        assertNull(line.with(request("last"), placesPerSecond = 5.0, Duration.ZERO))
        assertNotNull(line.with(request("last"), placesPerSecond = 50.0, Duration.ZERO))
        assertNotNull(line.with(request("moved", isResuming = true), placesPerSecond = 5.0, Duration.ZERO))
    }

    @Test
    fun `a request whose time has ended does not wait`() {
        assertNull(WaitingLine<String>().with(request("old", until = 1.seconds), null, now = 1.seconds))
        assertEquals(listOf("r"), lineOf(request("r")).expired(300.milliseconds).map { it.task })
    }

    @Test
    fun `a request waits as long as it can be answered in time, and a stream until its caller would give up`() {
        val objective = 1.3.seconds
        assertEquals(objective, WaitingLine.limit(1.seconds, objective, deadline = 8.seconds, isResuming = false))
        assertEquals(1.1.seconds, WaitingLine.limit(1.seconds, objective, deadline = 1.1.seconds, isResuming = false))
        assertEquals(4.2.seconds, WaitingLine.limit(3.seconds, objective, deadline = 8.seconds, isResuming = true))
    }

    @Test
    fun `the line is bounded`() {
        var line = WaitingLine<String>()
        var accepted = 0
        repeat(400) { number ->
            line.with(request("r$number"), null, Duration.ZERO)?.let {
                line = it
                accepted++
            }
        }
        assertEquals(256, accepted)
    }

    @Test
    fun `refused callers come back over a longer time the fewer places come free`() {
        val calm = (0..10).map { retryDelay(refused = 1.0, placesPerSecond = 100.0, random = it / 10.0) }
        val overloaded = (0..10).map { retryDelay(refused = 50.0, placesPerSecond = 40.0, random = it / 10.0) }
        assertTrue(calm.max() <= 600.milliseconds, "$calm")
        assertTrue(overloaded.max() > 1.2.seconds, "$overloaded")
        assertEquals(11, overloaded.distinct().size)
    }
}
