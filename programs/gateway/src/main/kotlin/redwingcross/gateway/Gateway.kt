package redwingcross.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.http4k.server.asServer
import redwingcross.connection.backend.BackendHttp
import redwingcross.connection.backend.cancelModelAttempt
import redwingcross.connection.backend.dispatchOnce
import redwingcross.connection.backend.runModelAttempt
import redwingcross.connection.caller.ByteBudget
import redwingcross.connection.caller.CallerServer
import redwingcross.connection.caller.CallerServerSettings
import redwingcross.connection.caller.CallerServices
import redwingcross.connection.caller.callerHandler
import redwingcross.connection.idempotency.NonIdempotentCalls
import redwingcross.connection.peer.PeerAnswer
import redwingcross.connection.peer.PeerFrame
import redwingcross.connection.platform.PlatformStore
import redwingcross.process.membership.Availability
import redwingcross.process.membership.Member
import redwingcross.process.node.NodeTasks
import redwingcross.process.node.OperatorListener
import redwingcross.process.node.PeerUpdate
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.eventLine
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ControlTask
import redwingcross.version.control.ViewSettings
import redwingcross.version.routing.Router
import redwingcross.version.routing.RouterSettings
import redwingcross.version.routing.RouterTask
import java.util.UUID
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Time within which a peer must answer a request to abandon an attempt. */
private val abandonTimeout = 2.seconds

/** Settings of the listeners of a gateway and of the memory for responses. */
internal class GatewaySettings(
    val callers: CallerServerSettings,
    /** Address and port of the operators' listener. */
    val operator: String,
    /** Upper limit of the memory for response data that callers have not read yet, in bytes. */
    val relayBudget: Long,
)

/** Creates the tasks of one gateway process and runs them until shutdown. */
internal class Gateway(
    private val member: Member,
    seeds: List<Endpoint>,
    store: PlatformStore,
    private val settings: GatewaySettings,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
) {
    private val viewSettings = ViewSettings()
    private val routerSettings = RouterSettings(viewSettings)
    private val nodeTasks: NodeTasks =
        NodeTasks(member, seeds, store, viewSettings, clock, scope, ::describeState, ::abandon)
    private val calls = NonIdempotentCalls(scope, store, member.name, ::newAttempt, ::requestAbandon, clock)
    private val router = RouterTask(
        router = Router(member.name, routerSettings),
        settings = routerSettings,
        clock = clock,
        views = nodeTasks.control.view,
        reportCold = { report -> scope.launch { nodeTasks.peers.membership.turnedCold(report) } },
    )
    private val relayBudget = ByteBudget(settings.relayBudget, settings.callers.maxExchanges)
    private val state = GatewayState(member.name, nodeTasks, router, { relayBudget.heldBytes }, clock)

    private val control: ControlTask get() = nodeTasks.control

    /** Serves until a signal requests the shutdown and the requests in flight have ended; returns the exit code. */
    suspend fun run(): Int {
        nodeTasks.start { update ->
            when (update) {
                is PeerUpdate.ZoneReceived -> router.statusReceived(update.status, clock.now() - update.publishedAt)
                is PeerUpdate.ColdReported -> router.coldReported(update.report)
                is PeerUpdate.StampReceived -> control.stampReceived(update.from, update.stamp, update.requestedAt)
            }
        }
        scope.launch { router.run() }
        val operatorListener = OperatorListener(settings.operator, state.readiness, state.dump, state.metrics).start()
        val callerServer = callerHandler(services()).asServer(CallerServer(settings.callers, clock)).start()
        logger.info { eventLine("gateway_started", "name" to member.name, "listen" to member.caller) }
        val announcer = ReadinessAnnouncer(nodeTasks.peers.membership, ::canServe)
        val announcerJob = scope.launch { announcer.run() }
        val shutdown = GatewayShutdown(
            announceLeaving = {
                announcerJob.cancelAndJoin()
                nodeTasks.peers.membership.announce(Availability.LEAVING)
            },
            membership = nodeTasks.peers.membership,
            callerServer = callerServer,
            awaitCalls = calls::awaitIdle,
            runningRequests = { router.state.held.size },
            clock = clock,
        )
        val exitCode = shutdown.await(scope)
        operatorListener.stop()
        scope.coroutineContext.job.cancelAndJoin()
        return exitCode
    }

    private fun services(): CallerServices {
        val parallelism = settings.callers.maxExchanges * 2
        val backends = BackendHttp(Dispatchers.IO.limitedParallelism(parallelism))
        return CallerServices(
            slots = router.slots,
            resolve = CallResolver({ control.view.value }, viewSettings.maxRequestDuration)::resolve,
            runNonIdempotent = calls::run,
            listAddresses = { callerAddresses(nodeTasks.peers.membership.view.value) },
            runAttempt = backends.runModelAttempt(),
            cancelAttempt = backends.cancelModelAttempt(),
            dispatch = backends.dispatchOnce(router.slots.confirm, clock),
            scope = scope,
            clock = clock,
            budget = relayBudget,
        )
    }

    private fun canServe(): Boolean = isReadyForCallers(control.view.value, router.dump(), member.name, clock.now())

    private fun describeState(): String = state.dump.take().toString()

    private suspend fun abandon(attempt: AttemptId): Boolean = calls.abandon(attempt)

    /** Requests that [gateway] abandons [attempt]; false if it refuses, does not answer in time or is unknown. */
    private suspend fun requestAbandon(gateway: ProcessName, attempt: AttemptId): Boolean {
        val owner = nodeTasks.peers.membership.view.value.present().find { it.name == gateway } ?: return false
        val answer = nodeTasks.peers.request(owner.peer, abandonTimeout) {
            PeerFrame.AbandonAttempt(member.name, it, attempt)
        }
        return ((answer as? PeerAnswer.Answered)?.frame as? PeerFrame.AbandonAnswer)?.abandoned ?: false
    }

    private fun newAttempt() = AttemptId(UUID.randomUUID().toString())
}
