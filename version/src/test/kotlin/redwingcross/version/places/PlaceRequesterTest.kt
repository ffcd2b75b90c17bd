package redwingcross.version.places

import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Guards against requests that wait for an owner that is gone, and against grants of a former owner. */
class PlaceRequesterTest {
    private val kind = PlaceKind(ServiceName("s"), ModelName("m"))
    private val head = BackendServer("e")
    private val first = PlaceNumber(1)
    private val asked = PlaceRequester<String>().ownedBy(5).ask("r1", kind, Duration.ZERO)

    private fun PlaceRequester<String>.decision() = decide(kind, emptySet())

    @Test
    fun `a grant is used once`() {
        val granted = asked.answered(PlaceAnswer.Granted(first, head), 5)
        assertEquals(PlaceDecision.UseGrant(head), granted.decision())
        assertEquals(PlaceDecision.DecideLocally, granted.sent("r1", head).decision())
        assertEquals(PlaceDecision.DecideLocally, granted.decide(kind, setOf(head)), "the request was there before")
    }

    @Test
    fun `a request that uses the place of another one leaves it its own place in the queue`() {
        val both = asked.ask("r2", kind, Duration.ZERO)
            .answered(PlaceAnswer.Queued(first), 5).answered(PlaceAnswer.Queued(PlaceNumber(2)), 5)
        assertEquals(PlaceDecision.Wait, both.decision())
        val used = both.answered(PlaceAnswer.Granted(PlaceNumber(2), head), 5).sent("r1", head)
        assertEquals(setOf(first), used.openNumbers)
        assertEquals("r2", used.open[first]?.task)
    }

    @Test
    fun `an answer after the request decided by itself is not used`() {
        val late = asked.timedOut(first, PlaceRequester.ANSWER_TIMEOUT).answered(PlaceAnswer.Granted(first, head), 5)
        assertEquals(PlaceDecision.DecideLocally, late.decision())
    }

    @Test
    fun `after missing answers no request waits except one that tries`() {
        var state = PlaceRequester<String>().ownedBy(5)
        repeat(PlaceRequester.MISSED_ANSWERS) {
            state = state.ask("r", kind, Duration.ZERO).let { it.timedOut(PlaceNumber(it.lastSequence), Duration.ZERO) }
        }
        assertTrue(state.isOwnerLost)
        assertFalse(state.asks(kind, emptySet(), Duration.ZERO))
        val trial = state.ask("r", kind, PlaceRequester.TRIAL_INTERVAL)
        assertFalse(trial.asks(kind, emptySet(), PlaceRequester.TRIAL_INTERVAL), "the next one doesn't wait")
        val heard = trial.answered(PlaceAnswer.Queued(PlaceNumber(trial.lastSequence)), 5)
        assertFalse(heard.isOwnerLost)
        assertTrue(heard.asks(kind, emptySet(), PlaceRequester.TRIAL_INTERVAL))
    }

    @Test
    fun `a former owner is not heard and its queue is forgotten`() {
        val queued = asked.answered(PlaceAnswer.Queued(first), 5)
        val moved = queued.ownedBy(6)
        assertEquals(PlaceDecision.DecideLocally, moved.decision())
        val asksNew = moved.ask("r2", kind, Duration.ZERO)
        assertEquals(asksNew, asksNew.answered(PlaceAnswer.Granted(PlaceNumber(2), head), 5))
    }
}
