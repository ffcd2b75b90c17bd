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
private val abandonTimeout = 2.seconds

/** Settings of one gateway process. */
internal class GatewaySettings(
    val callers: CallerServerSettings,
    /** Address and port for operators. */
    val operator: String,
    /** Memory for output that callers have not taken yet, in bytes. */
    val relayBudget: Long,
)

/** One gateway process: its tasks, wired together. */
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
    private val links: NodeTasks = NodeTasks(member, seeds, store, viewSettings, clock, scope, ::describe, ::abandon)
    private val calls = NonIdempotentCalls(scope, store, member.name, ::newAttempt, ::requestAbandon, clock)
    private val router = RouterTask(
        router = Router(member.name, routerSettings),
        settings = routerSettings,
        clock = clock,
        views = links.control.view,
        reportCold = { report -> scope.launch { links.peers.membership.turnedCold(report) } },
    )
    private val budget = ByteBudget(settings.relayBudget, settings.callers.maxExchanges)
    private val state = GatewayState(member.name, links, router, { budget.heldBytes }, clock)

    private val control: ControlTask get() = links.control

    /** Runs until the process is asked to stop and its requests have ended; returns the exit code. */
    suspend fun run(): Int {
        links.start { news ->
            when (news) {
                is PeerUpdate.ZoneReceived -> router.statusReceived(news.status, clock.now() - news.publishedAt)
                is PeerUpdate.ColdReported -> router.coldReported(news.report)
                is PeerUpdate.StampReceived -> control.stampReceived(news.from, news.stamp, news.requestedAt)
            }
        }
        scope.launch { router.run() }
        val operators = OperatorListener(settings.operator, state.readiness, state.dump, state.metrics).start()
        val callers = callerHandler(services()).asServer(CallerServer(settings.callers, clock)).start()
        logger.info { eventLine("gateway_started", "name" to member.name, "listen" to member.caller) }
        val listing = AddressListing(links.peers.membership, ::canServe)
        val announcing = scope.launch { listing.run() }
        val shutdown = GatewayShutdown(
            announceLeaving = {
                announcing.cancelAndJoin()
                links.peers.membership.announce(Availability.LEAVING)
            },
            membership = links.peers.membership,
            callers = callers,
            awaitCalls = calls::awaitIdle,
            runningRequests = { router.state.held.size },
            clock = clock,
        )
        val exitCode = shutdown.await(scope)
        operators.stop()
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
            listAddresses = { callerAddresses(links.peers.membership.view.value) },
            runAttempt = backends.runModelAttempt(),
            cancelAttempt = backends.cancelModelAttempt(),
            dispatch = backends.dispatchOnce(router.slots.confirm, clock),
            scope = scope,
            clock = clock,
            budget = budget,
        )
    }

    private fun canServe(): Boolean = isListable(control.view.value, router.dump(), member.name, clock.now())

    private fun describe(): String = state.dump.take().toString()

    private suspend fun abandon(attempt: AttemptId): Boolean = calls.abandon(attempt)

    private suspend fun requestAbandon(gateway: ProcessName, attempt: AttemptId): Boolean {
        val owner = links.peers.membership.view.value.present().find { it.name == gateway } ?: return false
        val answer = links.peers.request(owner.peer, abandonTimeout) {
            PeerFrame.AbandonAttempt(member.name, it, attempt)
        }
        return ((answer as? PeerAnswer.Answered)?.frame as? PeerFrame.AbandonAnswer)?.abandoned ?: false
    }

    private fun newAttempt() = AttemptId(UUID.randomUUID().toString())
}
