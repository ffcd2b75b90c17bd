package redwingcross.process.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.PendingExchange
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.ResponseMatcher
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.forward.InboundRequest
import redwingcross.request.forward.OfferResult
import redwingcross.request.forward.Repeatability
import redwingcross.request.forward.RetryBudget
import redwingcross.version.fleet.ColdRateLimiter
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.GatewayShare
import redwingcross.version.fleet.Route
import redwingcross.version.fleet.Tenant
import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.BackendChooser
import redwingcross.version.forwarding.BackendHealth
import redwingcross.version.forwarding.BackendLoad
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChoiceContext
import redwingcross.version.forwarding.ChoiceRequest
import redwingcross.version.forwarding.ChoiceSettings
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.EventRate
import redwingcross.version.forwarding.ForwardContext
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.ForwardTask
import redwingcross.version.forwarding.MovingAverage
import redwingcross.version.forwarding.RequestCodec
import redwingcross.version.forwarding.SendToBackend
import redwingcross.version.forwarding.WaitingLine
import redwingcross.version.forwarding.WaitingRequest
import redwingcross.version.forwarding.retryDelay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callbacks through which [GatewayTask] reads the process state and sends requests and messages. */
class GatewayDependencies(
    val clock: MonotonicClock,
    val codec: RequestCodec,
    val fleet: () -> FleetState,
    /** This gateway's share of the limits that all gateways divide among themselves. */
    val gatewayShare: () -> GatewayShare,
    val send: SendToBackend,
    /** Runs an action on the event loop after a delay. */
    val runLater: (Duration, () -> Unit) -> CancelTimer,
    /** Reports to the controller that a group makes no progress. */
    val reportSuspectedGroup: (GroupId) -> Unit,
    /** Called when a back end reports that it stays cold for the given time. */
    val coldReported: (BackendServer, Duration) -> Unit,
    /** Called once for each forwarded request when it has ended. */
    val recordOutcome: (ForwardOutcome) -> Unit,
    val log: LogEvent,
)

/** Admits requests from callers, chooses their back ends and monitors the progress of the streams in flight. */
class GatewayTask(
    private val dependencies: GatewayDependencies,
    private val bounds: () -> EdgeBounds,
    private val random: Random,
) {
    private val load = BackendLoad()
    private val health = BackendHealth()
    private val coldAllowance = ColdRateLimiter()
    private val chooser = BackendChooser(
        { ChoiceSettings(coldOverrun = bounds().coldOverrun, coldSlack = bounds().coldSlack) },
        load,
        health,
        coldAllowance,
        random,
    )
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private val forwardTasks = HashSet<ForwardTask>()
    private var line = WaitingLine<ForwardTask>()
    private val freedPlaces = HashMap<String, EventRate>()
    private val refusals = EventRate()
    private val responseTimes = HashMap<String, MovingAverage>()
    private var isServingScheduled = false
    private val lastProgressAt = HashMap<GroupId, Duration>()
    private val stalledSince = HashMap<GroupId, Duration>()
    private val suspectedAt = HashMap<GroupId, Duration>()
    private val context = ForwardContext(
        clock = dependencies.clock,
        codec = dependencies.codec,
        health = health,
        runLater = dependencies.runLater,
        choose = ::choose,
        send = ::send,
        offerStarted = { backend, _ -> load.requestStarted(backend.server) },
        offerReleased = { backend, _ -> placeFreed(backend) },
        awaitPlace = ::awaitPlace,
        waitEnded = { line = line.without(it) },
        offerEnded = ::offerEnded,
        tryAcquireRetry = ::tryAcquireRetry,
        retryAfter = { retryDelay(kindOf(it)) },
        coldReported = dependencies.coldReported,
        faultReported = { backend, _ -> backend.group?.let(dependencies.reportSuspectedGroup) },
        finished = ::finished,
        log = { event, pairs -> dependencies.log(event, pairs) },
    )

    /** Whether this gateway has received a request from a caller since its start. */
    var hasSeenRequests = false
        private set

    /** Number of requests in flight. */
    val runningRequests: Int get() = forwardTasks.size

    /** Number of requests that wait for a place. */
    val waitingRequests: Int get() = line.waiting.size

    /** Requests of this gateway in flight by back end, for the other gateways. */
    fun reportLoad(): Map<BackendServer, Int> = load.report()

    /** Requests of all gateways in flight by back end, from the reports of single gateways. */
    fun fleetLoad(): Map<BackendServer, Int> = load.totals()

    /** Sets the requests in flight of all gateways; null if only the reports of single gateways are known. */
    fun fleetLoadReceived(counts: CompactCounts?) {
        load.updateFleetTotal(counts?.let { known -> { server -> known[server.value] ?: 0 } })
        serveWaiting()
    }

    /** Stores the requests in flight of another gateway by back end; null if that gateway is no longer reachable. */
    fun peerLoadReceived(gateway: ProcessName, counts: Map<BackendServer, Int>?): Unit =
        load.updateReported(gateway, counts)

    /** Serves one request: authenticates and routes it, then forwards it or responds with an error status. */
    fun serve(exchange: CallerExchange) {
        hasSeenRequests = true
        val request = dependencies.codec.decode(exchange.head)
            ?: return refuse(exchange, null, BAD_REQUEST, "no_attempt_id")
        val configuration = dependencies.fleet().takeIf { it.isUsable }?.configuration
            ?: return refuse(exchange, request, SERVICE_UNAVAILABLE, "no_configuration")
        val route = configuration.route(request.host, request.path)
            ?: return refuse(exchange, request, NOT_FOUND, "no_route", configuration)
        val tenant = tenantOf(configuration, request)
        if (tenant == null && configuration.requiresKeys && !route.anonymous) {
            refuse(exchange, request, UNAUTHORIZED, "unknown_key", configuration)
        } else {
            admit(exchange, request, route, tenant)
        }
    }

    private fun admit(exchange: CallerExchange, request: InboundRequest, route: Route, tenant: Tenant?) {
        val now = dependencies.clock.now()
        val service = pickService(route) ?: return refuse(exchange, request, SERVICE_UNAVAILABLE, "no_service")
        budget(service).recordRequest(now)
        val priority = tenant?.priority ?: route.priority
        val task = ForwardTask(ForwardJob(exchange, request, route, service, tenant?.name, priority, now), context)
        forwardTasks += task
        task.start()
    }

    private fun tenantOf(configuration: FleetConfiguration, request: InboundRequest): Tenant? =
        request.credential?.let(configuration::tenant)

    private fun refuse(
        exchange: CallerExchange,
        request: InboundRequest?,
        status: Int,
        reason: String,
        configuration: FleetConfiguration? = null,
    ) {
        val delay = if (status == SERVICE_UNAVAILABLE) retryDelay("") else null
        dependencies.log(
            "request_refused",
            arrayOf(
                "attempt" to request?.attempt,
                "status" to status,
                "reason" to reason,
                "path" to request?.path,
                "configuration" to configuration?.version?.value,
            ),
        )
        val headers = if (delay != null) dependencies.codec.refusal(delay) else DefaultHttpHeaders()
        exchange.respond(status, headers, ByteArray(0))
    }

    private fun pickService(route: Route): ServiceName? {
        val total = route.destinations.sumOf { it.weight }
        if (total <= 0) return route.destinations.firstOrNull()?.service
        var left = random.nextInt(total)
        for (destination in route.destinations) {
            left -= destination.weight
            if (left < 0) return destination.service
        }
        return null
    }

    private fun choose(request: ChoiceRequest): BackendChoice {
        val now = dependencies.clock.now()
        val fleet = dependencies.fleet()
        val terms = fleet.configuration?.services?.get(request.service) ?: return BackendChoice.NoneServing
        val choiceContext = ChoiceContext(
            fleet.table,
            dependencies.gatewayShare(),
            request.excluded,
            stalledSince.keys,
            request.isResuming,
            now,
        )
        val model = request.model
        return if (model != null && terms.pool != null) {
            chooser.chooseGroup(terms, model, fleet.servingGroups(request.service, now), choiceContext)
        } else {
            chooser.chooseServer(terms, choiceContext)
        }
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
        when (end) {
            null -> health.recordEnd(backend.server, failed = false)
            OfferResult.NotSent -> {
                health.recordUnreachable(backend.server, now)
                backend.group?.let(dependencies.reportSuspectedGroup)
            }
            OfferResult.Declined -> health.recordDecline(backend.server, now)
            OfferResult.Failed -> health.recordEnd(backend.server, failed = true)
            OfferResult.Lost -> {
                health.recordEnd(backend.server, failed = true)
                backend.group?.let(dependencies.reportSuspectedGroup)
            }
            OfferResult.Stalled -> Unit
        }
    }

    private fun tryAcquireRetry(service: ServiceName): Boolean =
        budget(service).tryAcquire(dependencies.clock.now(), dependencies.gatewayShare().count)

    private fun budget(service: ServiceName) = budgets.getOrPut(service) { RetryBudget { bounds().retryBudget } }

    private fun retryDelay(kind: String): Duration {
        val now = dependencies.clock.now()
        refusals.record(now)
        return retryDelay(refusals.perSecond(now) ?: 0.0, freedPlaces[kind]?.perSecond(now), random.nextDouble())
    }

    private fun kindOf(job: ForwardJob): String = job.request.generation?.model?.value ?: job.service.value

    private fun placeFreed(backend: ChosenBackend) {
        load.requestEnded(backend.server)
        freedPlaces.getOrPut(backend.kind, ::EventRate).record(dependencies.clock.now())
        if (line.waiting.isEmpty() || isServingScheduled) return
        isServingScheduled = true
        dependencies.runLater(Duration.ZERO) {
            isServingScheduled = false
            serveWaiting()
        }
    }

    private fun awaitPlace(task: ForwardTask, isResuming: Boolean, deadline: Duration): Boolean {
        val now = dependencies.clock.now()
        val job = task.job
        val objective = job.arrivedAt + timeBeforeSend(job.route)
        val until = WaitingLine.limit(now, objective, deadline, isResuming)
        val request = WaitingRequest(task, kindOf(job), job.priority, isResuming, until)
        line = line.with(request, freedPlaces[request.kind]?.perSecond(now), now) ?: return false
        return true
    }

    /** How long after its arrival a request of [route] can be sent and still be answered within its objective. */
    private fun timeBeforeSend(route: Route): Duration {
        val target = route.targetLatency ?: DEFAULT_TARGET
        return target - (responseTimes[route.name]?.mean ?: (target * EXPECTED_RESPONSE_FRACTION))
    }

    /** Sends waiting requests to back ends that have places, and refuses those whose time has ended. */
    fun serveWaiting() {
        val now = dependencies.clock.now()
        for (request in line.expired(now)) {
            line = line.without(request.task)
            request.task.waitTimedOut()
        }
        val busyKinds = HashSet<String>()
        for (request in line.waiting) {
            if (request.kind in busyKinds) continue
            if (choose(request.task.choiceRequest()) !is BackendChoice.Chosen) {
                busyKinds += request.kind
                continue
            }
            line = line.without(request.task)
            request.task.placeFreed()
        }
    }

    private fun finished(task: ForwardTask, outcome: ForwardOutcome) {
        forwardTasks -= task
        val response = (outcome.firstEvent ?: outcome.total) - outcome.waited
        if (outcome.outcome == ForwardTask.SERVED && outcome.sends == 1) {
            responseTimes.getOrPut(outcome.job.route.name, ::MovingAverage).record(response)
        }
        dependencies.recordOutcome(outcome)
    }

    /** Moves the streams of groups that have lost a member to other groups. */
    fun groupsLost(groups: Set<GroupId>) {
        if (groups.isEmpty()) return
        forwardTasks.filter { it.group in groups }.forEach(ForwardTask::onGroupLost)
    }

    /** Finds groups whose streams make no progress; called several times a second. */
    fun checkStreamProgress() {
        serveWaiting()
        val now = dependencies.clock.now()
        val byGroup = forwardTasks.filter { it.group != null }.groupBy { it.group!! }
        lastProgressAt.keys.retainAll(byGroup.keys)
        stalledSince.keys.retainAll(byGroup.keys)
        suspectedAt.keys.retainAll(byGroup.keys)
        for ((group, members) in byGroup) {
            val latestProgress = members.filter { it.hasProgressed }.maxOfOrNull { it.progressAt }
            val last = maxOf(lastProgressAt[group] ?: Duration.ZERO, latestProgress ?: Duration.ZERO)
            lastProgressAt[group] = last
            val stalledFor = members.maxOf { now - maxOf(it.progressAt, last) - it.firstEventGrace() }
            handleStall(group, members, stalledFor, now)
        }
    }

    /** A request without events may wait in a busy group's queue, so its silence says less than that of a stream. */
    private fun ForwardTask.firstEventGrace() = if (hasProgressed) Duration.ZERO else FIRST_EVENT_GRACE

    private fun handleStall(group: GroupId, members: List<ForwardTask>, stalledFor: Duration, now: Duration) {
        if (stalledFor < AVOID_AFTER) {
            stalledSince.remove(group)
            return
        }
        val since = stalledSince.getOrPut(group) { now }
        if (stalledFor < SUSPECT_AFTER) return
        if (suspectedAt[group]?.let { now - it < SUSPICION_INTERVAL } != true) {
            suspectedAt[group] = now
            dependencies.log(
                "group_suspected",
                arrayOf("group" to group, "stalled" to stalledFor, "streams" to members.size),
            )
            dependencies.reportSuspectedGroup(group)
        }
        if (now - since > MOVE_AFTER) members.forEach(ForwardTask::abandonStalled)
    }

    /** Discards the health and cold start state of all back ends that are not in [servers]. */
    fun retainServers(servers: Set<BackendServer>) {
        health.retain(servers)
        coldAllowance.retain(servers)
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503

        /** A group without progress for this long gets new requests only if no other group is available. */
        val AVOID_AFTER = 250.milliseconds

        /**
         * A group without progress for this long is reported to the controller. Pauses of a working group are shorter,
         * except while it reads many prompts at once.
         */
        val SUSPECT_AFTER = 350.milliseconds

        /** Streams of a suspected group are moved after this time even if the controller reports no lost member. */
        val MOVE_AFTER = 1.2.seconds

        /** Objective of routes for which the operator states none. */
        val DEFAULT_TARGET = 300.milliseconds

        /** Part of the objective that a back end is expected to need before its response times were measured. */
        const val EXPECTED_RESPONSE_FRACTION = 0.5

        /** Added to the limits for a request that has no event yet. */
        val FIRST_EVENT_GRACE = 250.milliseconds

        /** The controller needs this long to find out whether a suspected group has lost a member. */
        val SUSPICION_INTERVAL = 400.milliseconds
    }
}
