package redwingcross.version.routing

import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotResult
import redwingcross.version.compareWithGolden
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlDecisionState
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.Overrides
import redwingcross.version.control.OverridesVersion
import kotlin.test.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against requests for a zone that is out of service, and against full load for its cold servers afterwards. */
class ZoneSessionTest {
    private val settings = RouterSettings()
    private val router = Router(gatewayName(0), settings)
    private val control = ControlDecision(settings.view, seedPeers = 0, startedAt = Duration.ZERO)
    private val lines = mutableListOf<String>()
    private var controlState = ControlDecisionState()
    private var state = router.initial()
    private var now = Duration.ZERO
    private var sequence = 0L
    private var request = 0L
    private val held = ArrayDeque<SlotId>()

    @Test
    fun `a zone that was taken out gets no requests and ramps up after its return`() {
        receiveControl(bundle = true, Overrides())
        // Servers that start well after the gateway can't hold requests of an earlier gateway process.
        now = 20.seconds
        startEngines("boot-0-1", "boot-1-1", "boot-2-1")
        repeat(4) { advanceOneSecond() }
        lines += "-- zone ub-b is taken out"
        receiveControl(bundle = false, Overrides(OverridesVersion(1), zonesOut = setOf(ZONES[1])))
        repeat(3) { advanceOneSecond() }
        lines += "-- zone ub-b returns with servers that have just started"
        receiveControl(bundle = false, Overrides(OverridesVersion(2)))
        startEngines("boot-0-1", "boot-1-2", "boot-2-1")
        repeat(8) { advanceOneSecond() }
        compareWithGolden("zone-session.txt", lines.joinToString("\n", postfix = "\n"))
    }

    private val bundle = accepted(1, bundleOf(gateways = 0..1, groups = 3, coldLimit = 2, warmLimit = 8))
    private val incarnations = mutableMapOf<Int, Pair<String, Duration>>()

    private fun startEngines(vararg names: String) = names.forEachIndexed { group, name ->
        if (incarnations[group]?.first != name) incarnations[group] = name to now
    }

    /** Simulates one second: confirms the view, delivers statuses, ends the old requests and acquires eight slots. */
    private fun advanceOneSecond() {
        now += 1.seconds
        receiveControl(bundle = false, overrides = null)
        incarnations.forEach { (group, boot) ->
            val status = statusOf(group, boot.first, readyFor = now - boot.second)
            step(RouterMessage.StatusReceived(zoneStatus(group, ++sequence, status), now))
        }
        while (held.isNotEmpty()) step(RouterMessage.Release(held.removeFirst(), SlotResult.Unused))
        val granted = (1..8).mapNotNull { acquire() }
        val byGroup = granted.groupingBy { it }.eachCount().toSortedMap().map { (group, count) -> "$group=$count" }
        lines += "at=$now ${byGroup.joinToString(" ")} waiting=${state.queue.size}"
        (1..request).forEach { step(RouterMessage.Withdraw(Ticket(it))) }
    }

    private fun acquire(): String? {
        request += 1
        val effects = step(RouterMessage.Acquire(Ticket(request), slotRequest(request)))
        val grant = effects.filterIsInstance<RouterEffect.Grant>().firstOrNull() ?: return null
        held += grant.slot.id
        return grant.slot.group?.value
    }

    private fun receiveControl(bundle: Boolean, overrides: Overrides?) {
        val newest = if (bundle) this.bundle else null
        handleControl(ControlMessage.ControlReceived(newest, overrides, now))
        handleControl(ControlMessage.VmListReceived(emptyList(), complete = false, now))
    }

    private fun handleControl(message: ControlMessage) {
        controlState = control.step(controlState, message, now).state
        step(RouterMessage.ControlChanged(controlState.view(settings.view)))
    }

    private fun step(message: RouterMessage): List<RouterEffect> {
        val transition = router.step(state, message, now)
        state = transition.state
        return transition.effects
    }
}
