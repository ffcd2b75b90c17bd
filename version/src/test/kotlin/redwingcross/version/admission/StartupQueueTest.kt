package redwingcross.version.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are refused a moment before the process can serve, and against ones held too long. */
class StartupQueueTest {
    @Test
    fun `a request is held for at most 1500 ms and a third of the time that its caller waits`() {
        val queue = held("stream" to 8.seconds, "booking" to 900.milliseconds, "unknown" to null)
        assertEquals(emptyList(), queue.expire(299.milliseconds).second)
        val (afterBooking, ended) = queue.expire(300.milliseconds)
        assertEquals(listOf("booking"), ended)
        assertEquals(listOf("stream", "unknown"), afterBooking.expire(1500.milliseconds).second)
    }

    @Test
    fun `a request whose caller left is neither served nor refused`() {
        assertEquals(listOf("b"), held("a" to null, "b" to null).without("a").waiting.map { it.request })
    }

    @Test
    fun `a full queue takes no further request`() {
        var queue = StartupQueue<Int>()
        repeat(256) { queue = assertNotNull(queue.with(it, null, 0.seconds)) }
        assertNull(queue.with(256, null, 0.seconds))
    }

    private fun held(vararg requests: Pair<String, Duration?>): StartupQueue<String> =
        requests.fold(StartupQueue()) { queue, (name, timeout) ->
            assertNotNull(queue.with(name, timeout, 0.seconds))
        }
}
