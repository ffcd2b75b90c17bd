package redwingcross.version.routing

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlState
import redwingcross.version.control.ControlView
import redwingcross.version.control.GatewaySetHistory
import redwingcross.version.control.periodOf
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a customer with many requests occupying all slots while another customer waits. */
class RouterFairnessProperties {
    private val now = 1.hours

    @Property(seed = "20261204", tries = 300)
    fun `a large customer gets no more than its weighted share while a small one waits below its own`(
        @ForAll @IntRange(min = 1, max = 20) slots: Int,
        @ForAll("actions") actions: List<Int>,
    ) {
        val router = Router(gatewayName(0), RouterSettings())
        var state = started(router, slots)
        actions.forEachIndexed { index, action ->
            val number = index.toLong()
            val oldest = state.held.keys.minByOrNull { it.value }
            val message = when {
                action < 4 -> RouterMessage.Acquire(Ticket(number), slotRequest(number, LARGE))
                action < 6 -> RouterMessage.Acquire(Ticket(number), slotRequest(number, SMALL))
                oldest != null -> RouterMessage.Release(oldest, SlotResult.Served(50.milliseconds, "boot-0-1"))
                else -> RouterMessage.Tick
            }
            val before = state
            val transition = router.step(before, message, now)
            state = transition.state
            // The weights are 3 and 1, so the large customer's share is three quarters, rounded up.
            val largeShare = maxOf(1, (3 * slots + 3) / 4)
            val isSmallWaiting =
                state.queue.waitingOf(SMALL).isNotEmpty() && state.heldBy(SMALL, MODEL) < maxOf(1, slots / 4)
            val granted = state.customers[LARGE]?.granted != before.customers[LARGE]?.granted
            if (isSmallWaiting && granted) assertTrue(state.heldBy(LARGE, MODEL) <= largeShare)
            assertTrue(state.held.size <= slots)
            assertTrue(state.queue.size == 0 || state.held.size == slots, "a slot is idle while a request waits")
        }
    }

    @Provide
    fun actions(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 9).list().ofMaxSize(200)

    private fun started(router: Router, slots: Int): RouterState {
        val bundle = bundleOf(gateways = listOf(0), groups = 1, coldLimit = slots, warmLimit = slots)
        val history =
            GatewaySetHistory(
                listOf(periodOf(bundle, ControlState().overrides)),
                completeSince = Duration.ZERO,
            )
        val view = ControlView(ControlState(accepted(1, bundle)), history, freshUntil = Duration.INFINITE)
        val status = RouterMessage.StatusReceived(zoneStatus(0, 1, statusOf(0)), now)
        return listOf(RouterMessage.ControlChanged(view), status)
            .fold(router.initial()) { state, message -> router.step(state, message, now).state }
    }
}
