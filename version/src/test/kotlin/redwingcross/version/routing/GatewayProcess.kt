package redwingcross.version.routing

import redwingcross.request.ProcessName
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlDecision
import redwingcross.version.control.ControlEffect
import redwingcross.version.control.ControlMemory
import redwingcross.version.control.ControlMessage
import redwingcross.version.control.versions
import kotlin.test.assertTrue
import kotlin.time.Duration

/** One process of a gateway in [world], with a clock of its own. A restart makes a new process of the same [name]. */
internal class GatewayProcess(val world: GatewayWorld, val name: ProcessName, private val offset: Duration) {
    private val decision = ControlDecision(world.settings.view, world.gatewayCount, startedAt = local())
    private val router = Router(name, world.settings)
    var memory = ControlMemory()
    var state = router.initial()
    var isolatedUntil = Duration.ZERO
    var platformCutUntil = Duration.ZERO
    var frozenUntil = Duration.ZERO

    /** What arrived while the process was frozen, or is on its way. */
    val inbox = mutableListOf<Pair<Duration, () -> Unit>>()
    val undispatched = mutableListOf<Slot>()
    val newestStatus = mutableMapOf<String, Pair<Duration, ZoneStatusOfGroup>>()

    val isFrozen get() = world.now < frozenUntil
    val isIsolated get() = world.now < isolatedUntil

    fun local(at: Duration = world.now): Duration = at + offset

    fun deliver(delay: Duration, action: () -> Unit) {
        inbox += (world.now + delay) to action
    }

    fun receiveDue() {
        val due = inbox.filter { it.first <= world.now }
        inbox.removeAll(due)
        due.forEach { it.second() }
    }

    fun learn(message: ControlMessage): List<ControlEffect> {
        val before = memory.control.versions()
        val transition = decision.step(memory, message, local())
        memory = transition.state
        assertTrue(memory.control.versions().covers(before), "$name went back from $before")
        route(RouterMessage.ControlChanged(memory.view(world.settings.view)))
        return transition.effects
    }

    fun route(message: RouterMessage) {
        val transition = router.step(state, message, local())
        state = transition.state
        for (effect in transition.effects) {
            when (effect) {
                is RouterEffect.Grant -> undispatched += effect.slot
                is RouterEffect.ReportCold -> world.spread(this, effect.report)
                is RouterEffect.Refuse -> Unit
            }
        }
    }

    fun release(slot: SlotId, result: SlotResult) = route(RouterMessage.Release(slot, result))
}

/** A status with the number of its group. */
internal class ZoneStatusOfGroup(val group: Int, val status: redwingcross.version.placement.ZoneStatus)
