package redwingcross.version.routing

import redwingcross.request.slot.SlotId
import redwingcross.version.bundle.Bundle
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlDecisionState
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlView
import redwingcross.version.control.GatewaySetHistory
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion
import redwingcross.version.control.ViewSettings
import redwingcross.version.control.periodOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Guards against shares that grow while requests admitted under a replaced or unknown gateway set may still run. */
class ShareTransitionTest {
    private val settings = ViewSettings()
    private val start = 1.hours
    private val decision = ControlDecision(settings, seedPeers = 3, startedAt = start)
    private val wide = bundleOf(0..5)
    private val narrow = bundleOf(0..2)

    @Test
    fun `the history covers both orders of a bundle and overrides adopted together`() {
        val out = Overrides(OverridesVersion(1), zonesOut = setOf(ZONES[1]))
        val controlState = adopt(adopt(ControlDecisionState(), 1, wide, start), 2, narrow, start + 1.seconds, out)

        val expected =
            listOf(
                periodOf(wide, Overrides()),
                periodOf(wide, out),
                periodOf(narrow, Overrides()),
                periodOf(narrow, out),
            )
        assertEquals(expected.map { it.gateways }.toSet(), controlState.history.periods.map { it.gateways }.toSet())
    }

    @Test
    fun `versions skipped while the view was stale make the history incomplete`() {
        val controlState = adopt(ControlDecisionState(), 2, wide, start)

        assertEquals(start, adopt(controlState, 4, narrow, start + 4.seconds).history.completeSince)
        assertEquals(start, adopt(controlState, 3, narrow, start + 60.seconds).history.completeSince)
        assertEquals(start + 60.seconds, adopt(controlState, 4, narrow, start + 60.seconds).history.completeSince)
    }

    @Test
    fun `only the first bundle ever accepted has no gateway sets before it`() {
        val earlier = start - settings.viewLifetime

        assertEquals(earlier, adopt(ControlDecisionState(), 1, wide, start + 3.seconds).history.completeSince)
        val none = decision.step(ControlDecisionState(), ControlMessage.ControlReceived(null, null, start), start).state
        assertEquals(-Duration.INFINITE, adopt(none, 1, wide, start + 3.seconds).history.completeSince)
        assertEquals(start + 3.seconds, adopt(ControlDecisionState(), 2, wide, start + 3.seconds).history.completeSince)
        val out = Overrides(OverridesVersion(1))
        assertEquals(
            start + 3.seconds,
            adopt(ControlDecisionState(), 1, wide, start + 3.seconds, out).history.completeSince,
        )
    }

    @Test
    fun `a replaced gateway set limits an incarnation if other gateways may have used it after it became ready`() {
        val now = start + 60.seconds
        assertTrue(ServingTime(1.seconds, start + 4.seconds).isBoundBy(start, settings, now))
        assertFalse(ServingTime(1.seconds, start + 5.seconds).isBoundBy(start, settings, now))
        assertFalse(ServingTime(1.seconds, null).isBoundBy(start, settings, start + settings.shareTransition))
    }

    @Test
    fun `a granted slot is not confirmed once the share is smaller than the number of held slots`() {
        val router = Router(gatewayName(0), RouterSettings())
        val alone = bundleOf(listOf(0), groups = 1, coldLimit = 2, warmLimit = 2)
        val shared = bundleOf(0..1, groups = 1, coldLimit = 2, warmLimit = 2)
        val messages = listOf(
            RouterMessage.ControlChanged(viewOf(alone)),
            RouterMessage.StatusReceived(zoneStatus(0, 1, statusOf(0)), start),
            RouterMessage.Acquire(Ticket(1), slotRequest(1)),
            RouterMessage.Acquire(Ticket(2), slotRequest(2)),
        )
        val state = messages.fold(router.initial()) { state, message -> router.step(state, message, start).state }
        assertTrue(state.canDispatch(SlotId(2), start))

        val changed = router.step(state, RouterMessage.ControlChanged(viewOf(shared)), start).state
        assertFalse(changed.canDispatch(SlotId(2), start))
    }

    private fun viewOf(bundle: Bundle) = ControlView(
        ControlState(accepted(1, bundle)),
        GatewaySetHistory(listOf(periodOf(bundle, Overrides())), completeSince = Duration.ZERO),
        freshUntil = Duration.INFINITE,
    )

    private fun adopt(
        controlState: ControlDecisionState,
        version: Long,
        bundle: Bundle,
        at: Duration,
        overrides: Overrides? = null,
    ): ControlDecisionState {
        val messages = listOf(
            ControlMessage.ControlReceived(accepted(version, bundle), overrides, at),
            ControlMessage.VmListReceived(emptyList(), complete = true, at),
        )
        return messages.fold(controlState) { next, message -> decision.step(next, message, at).state }
    }
}
