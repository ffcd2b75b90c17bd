package redwingcross.process.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.ResponseMatcher
import redwingcross.connection.http.runEvery
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.forward.InboundRequest
import redwingcross.request.forward.OfferResult
import redwingcross.request.forward.Repeatability
import redwingcross.request.forward.RetryBudgets
import redwingcross.version.fleet.ColdRateLimiter
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.Route
import redwingcross.version.fleet.Tenant
import redwingcross.version.forwarding.BackendChooser
import redwingcross.version.forwarding.BackendHealth
import redwingcross.version.forwarding.BackendLoad
import redwingcross.version.forwarding.BackendNotice
import redwingcross.version.forwarding.BackendNotices
import redwingcross.version.forwarding.ChoiceSettings
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import redwingcross.version.forwarding.ForwardContext
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.ForwardTask
import redwingcross.version.forwarding.MoveAdmission
import redwingcross.version.forwarding.ShutdownAdmission
import redwingcross.version.forwarding.StopPeriod
import kotlin.random.Random
import kotlin.time.Duration

/** Admits requests from callers, chooses their back ends and monitors the progress of the streams in flight. */
class GatewayTask(
    private val dependencies: GatewayDependencies,
    private val crashes: CrashAttributionTask,
    private val bounds: () -> EdgeBounds,
    private val random: Random,
    isAdmissionShared: Boolean = false,
) {
    private val load = BackendLoad()
    private val health = BackendHealth()
    private val coldAllowance = ColdRateLimiter()
    private val notices = BackendNotices()
    private val slowGroup =
        if (dependencies.sharedHealth != null) PaceExchange.SLOW_GROUP else Double.POSITIVE_INFINITY
    private val chooser = BackendChooser(
        { ChoiceSettings(coldOverrun = bounds().coldOverrun, coldSlack = bounds().coldSlack, slowGroup = slowGroup) },
        load,
        health,
        coldAllowance,
        notices,
        random,
    )
    private val digestNames = HashMap<BackendServer, CompactName>()
    private val budgets = RetryBudgets { bounds().retryBudget }
    private val forwardTasks = HashSet<ForwardTask>()

    /** The requests whose silence is that of their back ends. */
    private val watchedTasks = { forwardTasks.filter { it.isCallerReading } }
    private val shutdown = ShutdownAdmission()
    private val localWaiting =
        WaitingRequests(dependencies.clock, dependencies.runLater, { placement.choose(it) }, random)

    /** The waiting requests, if gateways share what they know of the demand. */
    val sharedWaiting: SharedWaitingRequests? = if (isAdmissionShared) {
        SharedWaitingRequests(
            dependencies.clock,
            dependencies.runLater,
            { placement.choose(it) },
            random,
            localWaiting,
        )
    } else {
        null
    }
    private val startup: StartupRequests? = if (isAdmissionShared) {
        StartupRequests(
            dependencies.clock,
            { dependencies.fleet().isUsable },
            { held, arrivedAt -> serve(held.exchange, held.request, arrivedAt) },
            { refuse(it.exchange, it.request, SERVICE_UNAVAILABLE, "no_configuration") },
            dependencies.log,
        )
    } else {
        null
    }
    private val waiting = sharedWaiting?.operations ?: WaitingOperations.of(localWaiting)
    private val progress =
        StreamProgress(dependencies.clock, dependencies.reportSuspectedGroup, dependencies.log)
    private val placement = RequestPlacement(dependencies, chooser, load) {
        sharedHealth?.avoidedGroups(progress.stalledGroups) ?: progress.stalledGroups
    }
    private val places = placement.places
    private val context = ForwardContext(
        clock = dependencies.clock,
        codec = dependencies.codec,
        health = health,
        runLater = dependencies.runLater,
        choose = { waiting.beforeChoice(it) ?: placement.choose(it) },
        beforeChoice = placement::beforeChoice,
        send = ::send,
        offerStarted = { backend, task ->
            load.requestStarted(backend.server)
            waiting.sent(backend.kind)
            sharedHealth?.stalls?.requestSent(backend)
            places?.sent(task, backend.server)
        },
        offerReleased = { backend, _ ->
            load.requestEnded(backend.server)
            runEvery(
                { if (backend.group != null) places?.placeFreed() },
                { waiting.placeFreed(backend.kind) },
            )
        },
        awaitPlace = waiting.add,
        waitEnded = { task -> runEvery({ waiting.remove(task) }, { places?.ended(task) }) },
        offerEnded = ::offerEnded,
        tryAcquireRetry = { budgets[it].tryAcquire(dependencies.clock.now(), dependencies.gatewayShare().count) },
        moves = MoveAdmission(
            { budgets[it].canAcquire(dependencies.clock.now(), dependencies.gatewayShare().count) },
            placement::chooseMove,
            { places?.ended(it) },
        ),
        retryAfter = waiting.retryDelay,
        coldReported = dependencies.coldReported,
        faultReported = { backend, _ -> backend.group?.let(dependencies.reportSuspectedGroup) },
        crashes = CrashSignals(
            crashes::blockReason,
            crashes::isRequestBlocked,
            crashes::isSuspect,
            crashes::answerBegan,
            crashes::connectionLost,
        ),
        shutdown = shutdown,
        finished = ::finished,
        progressed = { backend, pause, isFirst ->
            if (!isFirst) health.recordPause(backend.server, backend.kind, pause)
            sharedHealth?.progressed(backend, pause, isFirst)
        },
        log = { event, pairs -> dependencies.log(event, pairs) },
        runBegan = dependencies.runBegan,
    )

    /** What this gateway shares of the health of groups; null if the feature is off. */
    val sharedHealth: GatewayHealth? = dependencies.sharedHealth?.let { shared ->
        GatewayHealth(
            GatewayHealthDependencies(
                dependencies,
                shared,
                load,
                watchedTasks,
                context.crashes,
            ),
            random,
        ).also { health.fleetSlowness = it.pace::slowness }
    }

    init {
        places?.onPlaceGranted = waiting.serve
    }

    /** Whether this gateway has received a request from a caller since its start. */
    var hasSeenRequests = false
        private set

    /** Number of requests in flight. */
    val runningRequests: Int get() = forwardTasks.size + (startup?.size ?: 0)

    /** Number of requests that wait for a place. */
    val waitingRequests: Int get() = waiting.size()

    /** Requests of this gateway in flight by back end, for the other gateways. */
    fun reportLoad(): Map<BackendServer, Int> = load.report()

    /** Requests of all gateways in flight by back end, from the reports of single gateways. */
    val fleetLoad: () -> Map<BackendServer, Int> = load::totals

    /** Sets the requests in flight of all gateways; null if only the reports of single gateways are known. */
    fun fleetLoadReceived(counts: CompactCounts?) {
        load.updateFleetTotal(counts?.let { known -> { server -> known[digestName(server)] ?: 0 } })
        waiting.serve()
    }

    /** The demand of the fleet from the sums of all gateways; the slots and their use are those known here. */
    val demandView: BuildDemandView = { counts, takenAt ->
        dependencies.fleet().demandView(counts, takenAt, dependencies.clock.now(), load::total)
    }

    /** The name of [server] in digests; its hash is needed for each group at each choice. */
    private fun digestName(server: BackendServer) = digestNames.getOrPut(server) { CompactName.of(server.value) }

    /** Stores the requests in flight of another gateway by back end; null if that gateway is no longer reachable. */
    fun peerLoadReceived(gateway: ProcessName, counts: Map<BackendServer, Int>?) {
        load.updateReported(gateway, counts)
        places?.loadReported(gateway, counts)
    }

    /** Applies a message about places from another process. */
    fun placeMessageReceived(message: PlaceMessage) {
        places?.received(message)
    }

    /** Whether requests are placed without the owner of the places, because it does not answer. */
    val isPlaceOwnerLost: Boolean get() = places?.isOwnerLost == true

    /** Serves one request: authenticates and routes it, then forwards it or responds with an error status. */
    fun serve(exchange: CallerExchange) {
        hasSeenRequests = true
        exchange.onFailure = { refuse(exchange, null, SERVICE_UNAVAILABLE, ForwardTask.HANDLER_FAILED) }
        val request = dependencies.codec.decode(exchange.head)
            ?: return refuse(exchange, null, BAD_REQUEST, "no_attempt_id")
        exchange.attempt = request.attempt
        if (!dependencies.fleet().isUsable && !shutdown.isEnding && startup?.hold(exchange, request) == true) return
        serve(exchange, request, dependencies.clock.now())
    }

    private fun serve(exchange: CallerExchange, request: InboundRequest, arrivedAt: Duration) {
        val configuration = dependencies.fleet().takeIf { it.isUsable }?.configuration
            ?: return refuse(exchange, request, SERVICE_UNAVAILABLE, "no_configuration")
        val route = configuration.route(request.host, request.path)
            ?: return refuse(exchange, request, NOT_FOUND, "no_route", configuration)
        val tenant = request.credential?.let(configuration::tenant)
        if (tenant == null && configuration.requiresKeys && !route.anonymous) {
            refuse(exchange, request, UNAUTHORIZED, "unknown_key", configuration)
        } else {
            admit(exchange, request, configuration, route, tenant, arrivedAt)
        }
    }

    private fun admit(
        exchange: CallerExchange,
        request: InboundRequest,
        configuration: FleetConfiguration,
        route: Route,
        tenant: Tenant?,
        arrivedAt: Duration,
    ) {
        val identity = request.identity(tenant?.name, exchange.body)
        crashes.blockReason(identity)?.let {
            val delay = CrashSignals.BLOCKED_RETRY_DELAY
            return refuse(exchange, request, SERVICE_UNAVAILABLE, it, retryDelay = delay)
        }
        val now = dependencies.clock.now()
        val service = route.pickService(random) ?: return refuse(exchange, request, SERVICE_UNAVAILABLE, "no_service")
        budgets[service].recordRequest(now)
        val priority = tenant?.priority ?: route.priority
        val admittedTo = configuration.services[service]
        val job = ForwardJob(exchange, request, identity, route, service, admittedTo, tenant?.name, priority, arrivedAt)
        val task = ForwardTask(job, context)
        forwardTasks += task
        task.start()
    }

    private fun refuse(
        exchange: CallerExchange,
        request: InboundRequest?,
        status: Int,
        reason: String,
        configuration: FleetConfiguration? = null,
        retryDelay: Duration? = null,
    ) {
        val delay = retryDelay ?: if (status == SERVICE_UNAVAILABLE) waiting.retryDelay(null) else null
        val headers = if (delay != null) dependencies.codec.refusal(delay) else DefaultHttpHeaders()
        exchange.respond(status, headers, ByteArray(0))
        dependencies.log(
            "request_refused",
            arrayOf(
                "attempt" to exchange.attempt,
                "status" to status,
                "reason" to reason,
                "path" to request?.path,
                "configuration" to configuration?.version?.value,
            ),
        )
    }

    private fun send(
        backend: ChosenBackend,
        head: RequestHead,
        body: ByteArray,
        repeatability: Repeatability,
        matches: ResponseMatcher,
        listener: ResponseListener,
    ): PendingExchange {
        coldAllowance.recordSent(backend.server, dependencies.clock.now())
        return dependencies.send(backend, head, body, repeatability, matches, listener)
    }

    private fun offerEnded(backend: ChosenBackend, end: OfferResult?) {
        val now = dependencies.clock.now()
        sharedHealth?.offerEnded(backend, end)
        when (end) {
            null -> health.recordEnd(backend.server, failed = false)
            OfferResult.NotSent -> {
                health.recordUnreachable(backend.server, now)
                crashes.notConnected(backend)
                backend.group?.let(dependencies.reportSuspectedGroup)
            }
            OfferResult.Declined -> health.recordDecline(backend.server, now)
            OfferResult.Failed -> health.recordEnd(backend.server, failed = true)
            OfferResult.Lost, OfferResult.EngineLost -> {
                health.recordEnd(backend.server, failed = true)
                backend.group?.let(dependencies.reportSuspectedGroup)
            }
            OfferResult.GroupLost, OfferResult.Stalled -> Unit
        }
    }

    private fun finished(task: ForwardTask, outcome: ForwardOutcome) {
        forwardTasks -= task
        val isServed = outcome.outcome == ForwardTask.SERVED
        runEvery(
            { waiting.record(outcome) },
            { if (isServed) shutdown.recordServed(outcome.job.route, outcome.total, dependencies.clock.now()) },
            { dependencies.recordOutcome(outcome) },
        )
    }

    /**
     * Records what a back end states in the head of any response. [start] is the start of the back end that the call
     * was made to; null if the caller of this function doesn't know it.
     */
    fun backendAnswered(server: BackendServer, start: EngineStart?, notice: BackendNotice) {
        val known = start ?: dependencies.fleet().table.engines[server]?.status?.start
        val beginsToLeave = notices.record(server, known, notice, dependencies.clock.now())
        if (beginsToLeave) dependencies.log("back_end_leaving", arrayOf("server" to server))
        notice.pause?.let { dependencies.log("back_end_paused", arrayOf("server" to server, "for" to it)) }
    }

    /** Moves the requests of groups that have lost a member to other groups, now or at a later check. */
    fun groupsLost(groups: Set<GroupId>) {
        if (groups.isEmpty()) return
        runEvery(
            { sharedHealth?.stalls?.groupsLost(groups) },
            { forwardTasks.filter { it.group in groups }.forEach(ForwardTask::onGroupLost) },
            // Confirms also the losses that the requests have just recorded.
            { crashes.groupsLost(groups) },
        )
    }

    /** Serves waiting requests and finds groups whose streams make no progress; called several times a second. */
    fun checkProgress(): Unit = runEvery(
        crashes::check,
        { startup?.check() },
        { places?.check() },
        // Before the waiting requests: those of a lost group may have run already.
        { forwardTasks.toList().forEach(ForwardTask::leaveLostGroup) },
        waiting.serve,
        ::endUnsendableRequests,
        { progress.check(watchedTasks()) },
    )

    /** From now on refuses requests that can't be completed before the process ends all requests in [period]. */
    fun stop(period: StopPeriod) {
        shutdown.period = period
        startup?.refuseAll()
    }

    /** Answers all requests in flight as their state allows and refuses further ones. */
    fun endRequests() {
        val endNow = {
            val now = dependencies.clock.now()
            stop(StopPeriod(shutdown.period?.startedAt ?: now, endsAt = now))
        }
        runEvery(endNow, { forwardTasks.toList().forEach(ForwardTask::endForShutdown) })
    }

    /**
     * Ends the requests that wait for a place and must not be sent any more, because one of their traits was blocked
     * meanwhile or the process stops, and those that wait for an answer and were blocked as a whole.
     */
    fun endUnsendableRequests(): Unit = forwardTasks.toList().forEach(ForwardTask::endIfUnsendable)

    /** Discards the health and cold start state of all back ends that are not in [servers]. */
    fun retainServers(servers: Set<BackendServer>) {
        health.retain(servers)
        digestNames.keys.retainAll(servers)
        sharedHealth?.pace?.retain(servers)
        coldAllowance.retain(servers)
        notices.expire(dependencies.clock.now())
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
    }
}
