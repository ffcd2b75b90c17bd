package redwingcross.connection.http

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against callers that keep a connection open for ever after its last response. */
class LingerStateTest {
    private val start = 100.seconds
    private val written = LingerState(startedAt = start)

    @Test
    fun `a silent caller is waited for until the longest silence has passed`() {
        assertFalse(written.isOver(start + LingeringClose.MAXIMUM_SILENCE))
        assertTrue(written.isOver(start + LingeringClose.MAXIMUM_SILENCE + 1.milliseconds))
        val received = written.received(1, start + 1.seconds)
        assertFalse(received.isOver(start + LingeringClose.MAXIMUM_SILENCE + 1.seconds))
    }

    @Test
    fun `a caller that goes on to send is cut off by time and by bytes`() {
        val sending = (0..30).fold(written) { state, second -> state.received(1, start + second.seconds) }
        assertFalse(sending.isOver(start + LingeringClose.MAXIMUM_TIME))
        assertTrue(sending.isOver(start + LingeringClose.MAXIMUM_TIME + 1.milliseconds))
        val full = written.received(LingeringClose.MAXIMUM_BYTES.toInt(), start)
        assertFalse(full.isOver(start))
        assertTrue(full.received(1, start).isOver(start))
    }

    @Test
    fun `the time begins when the response has been written`() {
        assertFalse(LingerState().received(1, start).isOver(start + 1000.seconds))
        assertTrue(LingerState().received(LingeringClose.MAXIMUM_BYTES.toInt() + 1, start).isOver(start))
    }
}
