package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.forward.RetryBudgets
import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.BackendLoad
import redwingcross.version.forwarding.ChooseBackend
import redwingcross.version.forwarding.CrashSignals
import redwingcross.version.forwarding.ForwardTask
import kotlin.random.Random

/** The parts of [GatewayTask] that its share in the health of the groups needs. */
class GatewayHealthDependencies(
    val gateway: GatewayDependencies,
    /** Reports silent groups to the active controller. */
    val reportSilence: (SilenceReport) -> Unit,
    val load: BackendLoad,
    val budgets: RetryBudgets,
    val choose: ChooseBackend,
    /** Requests that have not ended. */
    val tasks: () -> Collection<ForwardTask>,
    val crashes: CrashSignals,
)

/** What one gateway contributes to the shared health of the groups, and what it learns from it. */
class GatewayHealth(private val dependencies: GatewayHealthDependencies, random: Random) {
    private val clock = dependencies.gateway.clock

    /** Silence of the groups that have requests of this gateway, and the marked groups. */
    val stalls = StallWatch(
        StallWatchDependencies(
            tasks = dependencies.tasks,
            report = dependencies.reportSilence,
            canMove = ::canMove,
            inFlight = { inFlight(it.server) },
            freePlaces = ::freePlaces,
            crashes = dependencies.crashes,
            runLater = dependencies.gateway.runLater,
        ),
        clock,
        random,
    )

    /** Groups that get new requests only if there is no other; [stalled] are those that this gateway finds stalled. */
    fun avoidedGroups(stalled: Set<GroupId>): Set<GroupId> {
        val marked = stalls.marked()
        return if (marked.isEmpty()) stalled else stalled + marked
    }

    /** Requests of all gateways in flight at [server], as far as this process knows. */
    fun inFlight(server: BackendServer): Int = dependencies.load.total(server)

    private fun canMove(task: ForwardTask): Boolean {
        val gateways = dependencies.gateway.gatewayShare().count
        if (!dependencies.budgets[task.job.service].canAcquire(clock.now(), gateways)) return false
        val choice = dependencies.choose(task.choiceRequest())
        return choice is BackendChoice.Chosen && choice.backend.group !in stalls.marked()
    }

    private fun freePlaces(task: ForwardTask, except: Set<GroupId>): Int {
        val fleet = dependencies.gateway.fleet()
        val slots = fleet.configuration?.services?.get(task.job.service)?.pool?.slots ?: return 0
        return fleet.servingGroups(task.job.service, clock.now())
            .filter { it.model == task.job.request.generation?.model && it.id !in except }
            .sumOf { (slots - inFlight(it.head)).coerceAtLeast(0) }
    }
}
