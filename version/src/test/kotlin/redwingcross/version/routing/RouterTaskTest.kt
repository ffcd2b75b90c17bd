package redwingcross.version.routing

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlView
import redwingcross.version.control.GatewaySetHistory
import redwingcross.version.control.ViewSettings
import redwingcross.version.control.periodOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against slots that leak when a caller disconnects, and against requests dispatched on a stale view. */
@OptIn(ExperimentalCoroutinesApi::class)
class RouterTaskTest {
    private val body = bundleOf(gateways = listOf(0), groups = 1, coldLimit = 1, warmLimit = 1)

    @Test
    fun `a granted slot is confirmed only until the view is stale`() = runTest {
        val task = startRouter()
        val answer = task.slots.acquire(slotRequest(1))

        val slot = assertIs<SlotAnswer.Granted>(answer).slot
        assertTrue(task.slots.confirm(slot.id))
        advanceTimeBy(5.seconds)
        assertFalse(task.slots.confirm(slot.id), "the view expired after 5 s")
        assertEquals(SlotAnswer.Refused(NotRunReason.STALE_VIEW, 1.seconds), task.slots.acquire(slotRequest(2)))
    }

    @Test
    fun `a slot granted to a cancelled request is used by the next request`() = runTest {
        val task = startRouter()
        val first = assertIs<SlotAnswer.Granted>(task.slots.acquire(slotRequest(1)))
        val cancelled = launch { task.slots.acquire(slotRequest(2)) }
        val next = async { task.slots.acquire(slotRequest(3)) }
        runCurrent()
        task.slots.release(first.slot.id, SlotResult.Served(100.milliseconds, first.slot.incarnation))
        cancelled.cancel()

        assertIs<SlotAnswer.Granted>(next.await())
        assertEquals(1, task.dump().inFlight)
    }

    private suspend fun TestScope.startRouter(): RouterTask {
        val clock = MonotonicClock { 1.hours + currentTime.milliseconds }
        val settings = RouterSettings(view = ViewSettings())
        val control = ControlState(accepted(1, body))
        val history = GatewaySetHistory(
            listOf(periodOf(body, control.overrides)),
            completeSince =
            clock.now() - 130.seconds,
        )
        val views = MutableStateFlow(ControlView(control, history, freshUntil = clock.now() + 5.seconds))
        val task = RouterTask(Router(gatewayName(0), settings), settings, clock, views) {}
        backgroundScope.launch { task.run() }
        task.statusReceived(zoneStatus(0, 1, statusOf(0)), 0.seconds)
        runCurrent()
        return task
    }
}
