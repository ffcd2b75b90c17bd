package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.forward.OfferResult
import redwingcross.version.forwarding.BackendLoad
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import redwingcross.version.forwarding.ForwardTask
import kotlin.random.Random
import kotlin.time.Duration

/** What a gateway needs in order to share the health of groups. */
class SharedHealthDependencies(
    val self: ProcessName,
    /** Reports silent groups to the active controller. */
    val reportSilence: (SilenceReport) -> Unit,
)

/** The parts of [GatewayTask] that its share in the health of the groups needs. */
class GatewayHealthDependencies(
    val gateway: GatewayDependencies,
    val shared: SharedHealthDependencies,
    val load: BackendLoad,
    /** Requests that have not ended and whose callers read their answers. */
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
            report = dependencies.shared.reportSilence,
            inFlight = { inFlight(it.server) },
            freePlaces = ::freePlaces,
            crashes = dependencies.crashes,
            runLater = dependencies.gateway.runLater,
        ),
        clock,
        random,
    )

    /** Pace and failures of groups. */
    val pace = PaceExchange(
        dependencies.shared.self,
        clock,
        dependencies.gateway.log,
    )

    /** Called for each event of a stream, with the time since the one before it or since the request was sent. */
    fun progressed(backend: ChosenBackend, pause: Duration, isFirst: Boolean) {
        if (!isFirst) this.pace.recordPause(backend, pause)
        stalls.progressed(backend, pause, isFirst)
    }

    /** Called with the reason for which [backend] did not serve a request; null if it did. */
    fun offerEnded(backend: ChosenBackend, end: OfferResult?) {
        val failed = end == OfferResult.Failed || end == OfferResult.Lost || end == OfferResult.EngineLost
        if (failed || end == null) pace.recordEnd(backend, failed)
    }

    /** Groups that get new requests only if there is no other; [stalled] are those that this gateway finds stalled. */
    fun avoidedGroups(stalled: Set<GroupId>): Set<GroupId> {
        val marked = stalls.marked()
        return if (marked.isEmpty()) stalled else stalled + marked
    }

    /** Requests of all gateways in flight at [server], as far as this process knows. */
    fun inFlight(server: BackendServer): Int = dependencies.load.total(server)

    private fun freePlaces(task: ForwardTask, except: Set<GroupId>): Int {
        val fleet = dependencies.gateway.fleet()
        val slots = fleet.configuration?.services?.get(task.job.service)?.pool?.slots ?: return 0
        return fleet.servingGroups(task.job.service, clock.now())
            .filter { it.model == task.job.request.generation?.model && it.id !in except }
            .sumOf { (slots - inFlight(it.head)).coerceAtLeast(0) }
    }
}
