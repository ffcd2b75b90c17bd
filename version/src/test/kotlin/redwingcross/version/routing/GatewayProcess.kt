package redwingcross.version.routing

import redwingcross.request.ProcessName
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlDecisionState
import redwingcross.version.control.ControlEffect
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.versions
import kotlin.test.assertTrue
import kotlin.time.Duration

/** A process of gateway [name] with its own clock. A restart creates a new process of the same name. */
internal class GatewayProcess(val simulation: GatewaySimulation, val name: ProcessName, private val offset: Duration) {
    private val decision = ControlDecision(simulation.settings.view, simulation.gatewayCount, startedAt = local())
    private val router = Router(name, simulation.settings)
    var controlState = ControlDecisionState()
    var state = router.initial()
    var isolatedUntil = Duration.ZERO
    var platformCutUntil = Duration.ZERO
    var frozenUntil = Duration.ZERO

    /** Messages to be handled at or after the given time, including those that arrived while the process was frozen. */
    val inbox = mutableListOf<Pair<Duration, () -> Unit>>()
    val undispatched = mutableListOf<Slot>()
    val newestStatus = mutableMapOf<String, Pair<Duration, ZoneStatusOfGroup>>()

    val isFrozen get() = simulation.now < frozenUntil
    val isIsolated get() = simulation.now < isolatedUntil

    fun local(at: Duration = simulation.now): Duration = at + offset

    fun deliver(delay: Duration, action: () -> Unit) {
        inbox += (simulation.now + delay) to action
    }

    fun receiveDue() {
        val due = inbox.filter { it.first <= simulation.now }
        inbox.removeAll(due)
        due.forEach { it.second() }
    }

    fun handleControl(message: ControlMessage): List<ControlEffect> {
        val before = controlState.control.versions()
        val transition = decision.step(controlState, message, local())
        controlState = transition.state
        assertTrue(controlState.control.versions().covers(before), "$name adopted lower versions than $before")
        handleRouting(RouterMessage.ControlChanged(controlState.view(simulation.settings.view)))
        return transition.effects
    }

    fun handleRouting(message: RouterMessage) {
        val transition = router.step(state, message, local())
        state = transition.state
        for (effect in transition.effects) {
            when (effect) {
                is RouterEffect.Grant -> undispatched += effect.slot
                is RouterEffect.ReportCold -> simulation.deliverReport(this, effect.report)
                is RouterEffect.Refuse -> Unit
            }
        }
    }

    fun release(slot: SlotId, result: SlotResult) = handleRouting(RouterMessage.Release(slot, result))
}

/** A zone status with the number of its only group. */
internal class ZoneStatusOfGroup(val group: Int, val status: redwingcross.version.placement.ZoneStatus)
