package redwingcross.connection.http

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against slow callers that are cut off, and against callers that never read and are kept for ever. */
class SendProgressTest {
    private val start = 100.seconds
    private val limit = 2.seconds

    @Test
    fun `a caller that reads is never stalled, one that reads nothing is after the limit`() {
        var progress = SendProgress(0, start - 50.seconds)
        for (second in 0..9) {
            progress = progress.observed(10_000L - second, start + second.seconds)
            assertFalse(progress.isStalled(limit, start + second.seconds + limit))
        }
        progress = progress.observed(10_000L - 9, start + 20.seconds)
        assertTrue(progress.isStalled(limit, start + 9.seconds + limit + 1.milliseconds))
    }

    @Test
    fun `a connection without unsent bytes is not stalled`() {
        assertFalse(SendProgress(0, start).isStalled(limit, start + 100.seconds))
    }
}
