package redwingcross.version.forwarding

import redwingcross.request.ServiceName
import redwingcross.request.forward.Repeatability
import redwingcross.version.fleet.Destination
import redwingcross.version.fleet.Route
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that a stopping process sends to a back end although it ends before they are complete. */
class ShutdownAdmissionTest {
    private val booking = route("booking", Repeatability.NON_IDEMPOTENT)
    private val stream = route("stream", Repeatability.RESUMABLE_STREAM)
    private val lookup = route("lookup", Repeatability.IDEMPOTENT)
    private val admission = ShutdownAdmission()

    private fun route(name: String, repeatability: Repeatability) = Route(
        name, "h", "/$name/", repeatability, TIME_LIMIT, maximumSends = 2, priority = 1, anonymous = false,
        listOf(Destination(ServiceName("app"), 1)),
    )

    private fun canComplete(route: Route, now: Duration) = admission.canComplete(route, now + TIME_LIMIT, now)

    @Test
    fun `every request is taken before the stop`() {
        assertTrue(canComplete(booking, 100.seconds))
    }

    @Test
    fun `a request that must not be repeated is taken only while its whole time limit is left`() {
        admission.recordServed(booking, 40.milliseconds, 9.seconds)
        admission.period = StopPeriod(9.seconds, endsAt = 16.seconds)
        assertTrue(canComplete(booking, 16.seconds - TIME_LIMIT))
        assertFalse(canComplete(booking, 16.seconds - TIME_LIMIT + 1.milliseconds))
    }

    @Test
    fun `a request that may be repeated needs its whole time limit although recent ones were short`() {
        for (route in listOf(stream, lookup)) {
            admission.recordServed(route, 100.milliseconds, 9.seconds)
            admission.period = StopPeriod(9.seconds, endsAt = 16.seconds)
            assertTrue(canComplete(route, 16.seconds - TIME_LIMIT), route.name)
            assertFalse(canComplete(route, 16.seconds - TIME_LIMIT + 1.milliseconds), route.name)
            assertFalse(canComplete(route, 14.seconds), route.name)
        }
    }

    @Test
    fun `right after the stop a stream is taken while the longest of the recent streams would be completed`() {
        admission.recordServed(stream, 1200.milliseconds, 9.seconds)
        admission.recordServed(stream, 100.milliseconds, 9.seconds)
        admission.period = StopPeriod(12.seconds, endsAt = 14.seconds)
        assertTrue(canComplete(stream, 12.seconds))
        assertFalse(canComplete(stream, 12500.milliseconds))
    }

    @Test
    fun `a stream of a route on which none was served lately needs its whole time limit`() {
        admission.recordServed(stream, 100.milliseconds, 1.seconds)
        admission.period = StopPeriod(57.seconds, endsAt = 60.seconds)
        assertTrue(canComplete(stream, 57.seconds))
        assertFalse(canComplete(stream, 58.seconds))
    }

    @Test
    fun `no request is taken after the end of all requests`() {
        admission.recordServed(stream, 100.milliseconds, 9.seconds)
        admission.period = StopPeriod(10.seconds, endsAt = 10.seconds)
        assertFalse(canComplete(stream, 10.seconds))
        assertFalse(canComplete(booking, 11.seconds))
    }

    private companion object {
        val TIME_LIMIT = 3.seconds
    }
}
