package redwingcross.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.nio.NioEventLoopGroup
import redwingcross.connection.datagram.DatagramSocket
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.connection.http.runEach
import redwingcross.connection.http.runEvery
import redwingcross.platform.PlatformFleet
import redwingcross.platform.RequestFormat
import redwingcross.platform.WatchIntervals
import redwingcross.process.edge.ControllerDependencies
import redwingcross.process.edge.ControllerMessage
import redwingcross.process.edge.ControllerTask
import redwingcross.process.edge.CrashAttributionDependencies
import redwingcross.process.edge.CrashAttributionTask
import redwingcross.process.edge.CrashEvidenceDependencies
import redwingcross.process.edge.CrashEvidenceRelay
import redwingcross.process.edge.CrashReports
import redwingcross.process.edge.DemandDependencies
import redwingcross.process.edge.DemandExchange
import redwingcross.process.edge.DemandFollower
import redwingcross.process.edge.EdgeFeature
import redwingcross.process.edge.EdgeSettings
import redwingcross.process.edge.EventLog
import redwingcross.process.edge.EventLoopTask
import redwingcross.process.edge.FleetDecision
import redwingcross.process.edge.FleetState
import redwingcross.process.edge.GatewayDependencies
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.GatewayTask
import redwingcross.process.edge.GroupSuspicion
import redwingcross.process.edge.Heartbeat
import redwingcross.process.edge.PeerDependencies
import redwingcross.process.edge.PeerTask
import redwingcross.process.edge.PeerTaskMessage
import redwingcross.process.edge.PostMessage
import redwingcross.process.edge.SettingsReload
import redwingcross.process.edge.StartView
import redwingcross.process.edge.UsageReception
import redwingcross.process.edge.WatchLagDetector
import redwingcross.process.edge.WatchProgress
import redwingcross.process.edge.configurationPause
import redwingcross.process.edge.waitingModels
import redwingcross.request.Checked
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.places.GatewayStart
import sun.misc.Signal
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The edge process: runs the tasks of a gateway and a controller on one event loop and owns their sockets. */
internal class EdgeProcess(
    private val settings: EdgeSettings,
    settingsText: String,
    readSettings: () -> String,
    decodeSettings: (String) -> Checked<EdgeSettings>,
) {
    private val clock = MonotonicClock.system
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val metrics = EdgeMetrics()
    private val events =
        EventLog(KotlinLogging.logger("redwingcross"), clock, LOG_LINES_PER_SECOND, metrics.countEvent)
    private val random = Random(System.nanoTime())
    private val startMillis = System.currentTimeMillis()
    private val self = GatewayRecord(
        settings.node.value,
        startMillis,
        settings.ip,
        settings.internalPorts.first,
        settings.callers.value,
        settings.zone.value,
        settings.processors,
    )
    private var bounds = settings.bounds
    private val reload =
        SettingsReload(readSettings, decodeSettings, settingsText, settings, events.info) { bounds = it.bounds }
    private val storeEndpoint = RemoteEndpoint(settings.store.toSocketAddress(), settings.store.value)
    private val network: BackendNetwork = BackendNetwork(
        group,
        loop as io.netty.channel.EventLoop,
        clock,
        storeEndpoint,
        { fleet },
        { peers.gatewayShare.count },
        { server, start, notice -> gateway.backendAnswered(server, start, notice) },
    )
    private val platform =
        PlatformFleet(
            storeEndpoint,
            network.controlClient::call,
            { delay, action -> runLater(delay, action) },
            metrics.countStoreCall,
            { event, pairs -> events.warn(event, pairs.toTypedArray()) },
            clock,
        )
    private val peerSocket = DatagramSocket(
        group,
        onReceived = { peerPost(PeerTaskMessage.Received(it)) },
        onError = { events.warn("peer_socket_error", arrayOf("detail" to it.message)) },
    )
    private val peerPost: PostMessage<PeerTaskMessage> = { peerTask.post(it) }
    private val controllerPost: PostMessage<ControllerMessage> = { controllerTask.post(it) }
    private val postLease: PostMessage<LeaseMessage> = { controllerPost(ControllerMessage.Lease(it)) }
    private val onMessageDropped: () -> Unit = { events.warn("mailbox_full", emptyArray()) }
    private var fleet = FleetState()
    private val watchLag = WatchLagDetector { source ->
        MAXIMUM_WATCH_LAG + if (source == UpdateSource.BACKEND_SERVERS) listPause else pauseOfConfiguration
    }
    private var peersReportedTraffic = false
    private val startedAt = clock.now()
    private var lastCheckAt = startedAt
    private var stopping = false
    private val stopped = CountDownLatch(1)

    private val crashes: CrashAttributionTask = CrashAttributionTask(
        CrashAttributionDependencies(
            table = { fleet.table },
            onNewEvidence = { crashRelay.onOwnChange() },
            onBlocked = { gateway.endUnsendableRequests() },
            countCrash = metrics.countCrash,
            countBlocked = metrics.countBlockedRequest,
            log = events.info,
        ),
        clock,
    )
    private val crashRelay: CrashEvidenceRelay = CrashEvidenceRelay(
        CrashEvidenceDependencies(
            evidence = crashes::evidence,
            isActiveController = { controller.isActiveController },
            fleetSize = { peers.gatewayShare.count },
            sendToAll = { peers.broadcast(CrashReports(self, it)) },
            sendToObservers = { peers.sendToObservers(CrashReports(self, it)) },
        ),
        clock,
    )
    private val stalls: StallRelay? =
        if (EdgeFeature.SHARED_HEALTH in settings.features) {
            StallRelay(self, { gateway }, { controller }, { peers }, controllerPost, ::runLater, clock, events.info)
        } else {
            null
        }
    private val gateway: GatewayTask = GatewayTask(
        GatewayDependencies(
            clock = clock,
            codec = RequestFormat.codec,
            fleet = { fleet },
            gatewayShare = { peers.gatewayShare },
            send = network.send,
            runLater = ::runLater,
            reportSuspectedGroup = ::reportSuspectedGroup,
            coldReported = { server, remaining ->
                fleet = FleetDecision.coldReported(fleet, server, remaining, clock.now())
            },
            recordOutcome = { outcome ->
                metrics.recordRequest(outcome)
                events.requestFinished(outcome)
            },
            log = events.info,
            sharedHealth = stalls?.dependencies,
            places = placeNetwork(
                GatewayStart(settings.node, startMillis),
                { controller.heldLease?.record?.epoch?.value },
                { peers },
                metrics.countPlace,
            ).takeIf { EdgeFeature.EVEN_PLACEMENT in settings.features },
            runBegan = { usage?.runBegan(it) },
        ),
        crashes,
        { bounds },
        random,
        EdgeFeature.SHARED_ADMISSION in settings.features,
    )
    private val demand: DemandExchange? = gateway.sharedWaiting?.let { waiting ->
        DemandExchange(gateway.demandView, waiting::demandChanged, clock, events.info)
    }
    private val relay: RouteRelay = RouteRelay(
        self,
        RouteRelayDependencies(
            fleet = { fleet },
            updateFleet = { fleet = it },
            broadcast = { peers.broadcast(it) },
            send = { receiver, bytes -> peers.send(receiver, bytes) },
            runLater = { delay, action -> runLater(delay, action) },
            drain = { bounds.drain },
            fleetSize = { peers.gatewayShare.count },
            activeController = { peers.activeController() },
            startView = ::startView,
            groupsLost = gateway::groupsLost,
            watchServers = { platform.watchServers(it) },
        ),
        clock,
        random,
        events.info,
    )
    private val engines =
        EngineControl(network.reportClient::call, network.orderClient::call, clock, controllerPost, events.info)
    private val demandFollower: DemandFollower? =
        if (EdgeFeature.DEMAND_FORMATION in settings.features) {
            DemandFollower(
                DemandDependencies(
                    { fleet.table },
                    gateway.fleetLoad,
                    { peers.isMajorityReachable },
                    { demand?.currentView?.waitingModels().orEmpty() },
                ),
                clock,
                events.info,
            )
        } else {
            null
        }
    private val controller = ControllerTask(
        settings.node,
        "$startMillis",
        ControllerDependencies(
            configuration = { fleet.configuration },
            table = { fleet.table },
            trafficSeen = { peersReportedTraffic || gateway.hasSeenRequests },
            isMajorityReachable = { peers.isMajorityReachable },
            isStoreAvailable = { fleet.storeLostAt == null },
            applyReport = { engine, report ->
                fleet = FleetDecision.reported(fleet, engine, report, clock.now())
            },
            applyLeave = { engine, orders -> fleet = FleetDecision.left(fleet, engine, orders, clock.now()) },
            discardReports = {
                fleet = FleetDecision.reportsDiscarded(fleet)
                platform.refresh(UpdateSource.BACKEND_SERVERS)
            },
            readLease = { call -> platform.readLease(call, postLease) },
            writeLease = { call, expected, record -> platform.writeLease(call, expected, record, postLease) },
            requestReport = engines::requestReport,
            sendOrder = engines::sendOrder,
            isListComplete = { fleet.isListComplete },
            listPosition = { fleet.listPosition },
            catchUpList = { platform.catchUp(UpdateSource.BACKEND_SERVERS) },
            announcedRoutes = { fleet.announced[it] },
            announce = relay::announce,
            stepLater = { delay -> runLater(delay) { controllerPost(ControllerMessage.Step) } },
            becameController = { peerPost(PeerTaskMessage.StateChanged) },
            demandPlan = { service, pool, formation -> demandFollower?.plan(service, pool, formation) },
        ),
        clock,
        events.info,
        EdgeFeature.LEASE_RECLAIM in settings.features,
    )
    private val usage: UsageReports? = UsageReports.create(
        UsageEnvironment(
            settings,
            self,
            loop as io.netty.channel.EventLoop,
            clock,
            events,
            metrics,
            network.controlClient::call,
            platform,
            { controller },
            { peers },
        ),
    )
    private val peers: PeerTask = PeerTask(
        self,
        PeerDependencies(
            send = peerSocket::send,
            nextHeartbeat = ::nextHeartbeat,
            register = { call ->
                platform.register(self, call) { peerPost(PeerTaskMessage.RegistryCallCompleted(it)) }
            },
            listRegistry = { allowStale ->
                platform.listGateways(allowStale) { peerPost(PeerTaskMessage.RegistryCallCompleted(it)) }
            },
            onLoad = gateway::peerLoadReceived,
            onFleetLoad = gateway::fleetLoadReceived,
            fleetLoad = gateway.fleetLoad,
            onTrafficSeen = { peersReportedTraffic = true },
            onWatchProgress = ::restartLaggingWatches,
            onGroupAnnouncement = {
                controllerPost(ControllerMessage.RoutesAnnounced(LeaseEpoch(it.leaseEpoch)))
                relay.onAnnounced(it)
            },
            onRoutesRequest = {
                controllerPost(ControllerMessage.RoutesRequested(ServiceName(it.service), it.sender))
            },
            onRank = { controllerPost(ControllerMessage.RankChanged(it)) },
            onSuspicion = { controllerPost(ControllerMessage.GroupSuspected(it)) },
            onLease = postLease,
            crashEvidence = crashes::evidence,
            onCrashEvidence = { if (crashes.received(it)) crashRelay.onReceivedChange() },
            demand = demand,
            onHealth = { node, report -> gateway.sharedHealth?.pace?.received(node, report) },
            onFleetHealth = { gateway.sharedHealth?.pace?.digestReceived(it) },
            fleetHealth = { gateway.sharedHealth?.pace?.digest() },
            onStallEvidence = { stalls?.onEvidence(it) },
            onStalledGroups = { stalls?.onStalledGroups(it) },
            onPlaceMessage = gateway::placeMessageReceived,
            usage = usage?.reception ?: UsageReception.none,
        ),
        clock,
        random,
        events.info,
    )
    private val controllerTask: EventLoopTask<ControllerMessage> =
        EventLoopTask<ControllerMessage>(loop, MAILBOX_CAPACITY, onMessageDropped, controller::handle)
    private val peerTask: EventLoopTask<PeerTaskMessage> =
        EventLoopTask<PeerTaskMessage>(loop, MAILBOX_CAPACITY, onMessageDropped, peers::handle)
    private val fleetTask = EventLoopTask<FleetUpdate>(loop, MAILBOX_CAPACITY, onMessageDropped, ::onFleetUpdate)
    private val observer =
        EdgeObserver(settings.node, clock, { fleet }, gateway, controller, peers, crashes, demand, stalls)

    private val controlEndpoint = ControlEndpoint(
        ::isReady,
        { listOf(settings.callers).filter { isReady() } + peers.readyCallerEndpoints() },
        { minOf(ADDRESS_LIST_LIFETIME, bounds.maximumListLifetime) },
    )
    private val operatorEndpoint = OperatorEndpoint(metrics::scrape, observer::state, crashes::lift)
    private val listeners = EdgeListeners(
        group,
        clock,
        settings,
        EdgeServices(gateway::serve, controlEndpoint::serve, operatorEndpoint::serve),
        { fleet.configuration?.limits ?: CallerLimits() },
        events.info,
        events.warn,
        metrics.countCallerClose,
    )
    private val updateLog = FleetUpdateLog(events)

    /** Starts the listeners and tasks and blocks until the process is stopped by a signal. */
    fun run() {
        events.info("start", arrayOf("node" to settings.node, "zone" to settings.zone, "callers" to settings.callers))
        events.info("features", arrayOf("on" to settings.features.enabled.joinToString(",") { it.label }))
        for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { loop.execute { stop(name) } }
        Signal.handle(Signal("HUP")) { loop.execute { reload.check(signalled = true) } }
        peerSocket.start(InetSocketAddress(settings.ip, settings.internalPorts.first))
        observer.register(metrics, network.requests)
        demandFollower?.let { metrics.gauge("redwingcross_group_moves") { it.movesInProgress } }
        listeners.start()
        loop.execute(::startTasks)
        stopped.await()
    }

    private fun startTasks() {
        platform.startWatches(::watchIntervals, fleetTask.post)
        network.startExpiry()
        peerTask.post(PeerTaskMessage.Tick)
        peerTask.postPeriodically(HEARTBEAT_INTERVAL, PeerTaskMessage.Tick)
        loop.runEach(RELOAD_INTERVAL) {
            reload.check(signalled = false)
            gateway.retainServers(fleet.table.engines.keys)
        }
        loop.runEach(CHECK_INTERVAL) {
            controllerPost(ControllerMessage.Tick)
            runPeriodicChecks()
        }
    }

    private fun runPeriodicChecks() {
        val now = clock.now()
        metrics.recordLoopDelay((now - lastCheckAt - CHECK_INTERVAL).coerceAtLeast(Duration.ZERO))
        lastCheckAt = now
        val before = fleet
        fleet = FleetDecision.expired(before, now)
        updateLog.recordZones(before, fleet)
        relay.updateServerSource(peers.rank, controller.isActiveController)
        runEvery(gateway::checkProgress, crashRelay::sendIfDue, { usage?.check() })
    }

    private fun startView() = StartView(
        clock.now() - startedAt,
        settings.isFirstStart,
        peers.isRegistryRead,
        peers.isMajorityReachable,
    )

    private fun onFleetUpdate(update: FleetUpdate) {
        val before = fleet
        val now = clock.now()
        fleet = FleetDecision.onUpdate(fleet, update, now)
        updateLog.record(update, before, fleet, now)
        if (update is FleetUpdate.StoreRestored) storeRestored(update.era)
        if (update is FleetUpdate.Confirmed) usage?.storeAnswered(update.position.era)
    }

    /** Tells every owner of state that is kept in the store. */
    private fun storeRestored(era: StoreEra) {
        events.warn("store_restored", arrayOf("era" to era.value))
        usage?.storeAnswered(era)
        controllerPost(ControllerMessage.StoreRestored(era))
        peerPost(PeerTaskMessage.StoreRestored)
    }

    private val pauseOfConfiguration: Duration get() = configurationPause(bounds.configurationApply)

    private val listPause: Duration get() = bounds.drain * LIST_PAUSE_FRACTION

    private fun watchIntervals(source: UpdateSource) = WatchIntervals(
        pause = when {
            source != UpdateSource.BACKEND_SERVERS -> pauseOfConfiguration
            controller.isActiveController -> CONTROLLER_LIST_PAUSE
            else -> listPause
        },
        wait = if (peers.gatewayShare.count <= MAXIMUM_PROCESSES_FOR_SHORT_WAIT) SHORT_WAIT else LONG_WAIT,
    )

    private fun nextHeartbeat() = Heartbeat(
        sender = self,
        sequence = 0,
        ready = isReady(),
        leaving = stopping,
        trafficSeen = peersReportedTraffic || gateway.hasSeenRequests,
        watchProgress = platform.progress(),
        load = gateway.reportLoad().entries.associate { (server, count) -> server.value to count },
        controllerLease = controller.heldLease,
        demand = gateway.sharedWaiting?.report(),
        health = gateway.sharedHealth?.pace?.report(),
        clock = usage?.clockIfDue(),
    ).also { demand?.heartbeatReceived(it) }

    private fun restartLaggingWatches(other: Map<UpdateSource, WatchProgress>) {
        val own = platform.progress()
        for (source in watchLag.compare(other.filterKeys { it in own }, own, clock.now())) {
            events.info("follow_restarted", arrayOf("source" to source))
            platform.refresh(source)
        }
    }

    private fun isReady(): Boolean = fleet.isUsable && !stopping

    private fun reportSuspectedGroup(suspected: GroupId) {
        if (controller.isActiveController) {
            controllerPost(ControllerMessage.GroupSuspected(suspected))
        } else {
            peers.sendToController(GroupSuspicion(self, suspected.value))
        }
    }

    private fun stop(signal: String) {
        if (stopping) return
        stopping = true
        events.info("stop", arrayOf("signal" to signal, "running" to gateway.runningRequests))
        controllerPost(ControllerMessage.Release)
        peerPost(PeerTaskMessage.StateChanged)
        val end = {
            usage?.flush()
            stopped.countDown()
            Runtime.getRuntime().halt(0)
        }
        EdgeShutdown(
            gateway,
            listeners,
            clock,
            ::runLater,
            events.info,
            end,
        ).start(bounds.stopGrace, ADDRESS_LIST_LIFETIME)
    }

    private fun runLater(delay: Duration, action: () -> Unit): CancelTimer {
        // Netty does not log what a timer throws.
        val logged = { runCatching(action).onFailure { events.warn("timer_failed", arrayOf("detail" to it)) } }
        val future = loop.schedule(logged, delay.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        return CancelTimer { future.cancel(false) }
    }

    private companion object {
        /** Maximum number of messages queued for a task; further messages are dropped and counted in the log. */
        const val MAILBOX_CAPACITY = 4096
        const val LOG_LINES_PER_SECOND = 150
        val HEARTBEAT_INTERVAL = 250.milliseconds

        /** Interval of the checks of the fleet, of the streams and of the controller lease; one wake-up serves all. */
        val CHECK_INTERVAL = 100.milliseconds

        /** The settings file may change without a signal; no bound is guaranteed to apply sooner than this. */
        val RELOAD_INTERVAL = 2.seconds

        /** Time that a process may be behind others beyond the pause between two of its watch requests. */
        val MAXIMUM_WATCH_LAG = 300.milliseconds
        val CONTROLLER_LIST_PAUSE = 250.milliseconds

        /**
         * Pause between two requests for changes of the back ends, as a fraction of the drain time. The drain time is
         * the limit within which a gateway must have received the update that a back end is draining.
         */
        const val LIST_PAUSE_FRACTION = 0.4

        /**
         * Long polls are answered at once when something changes, and each call has a price, so the waits are long. A
         * store that no longer responds is detected when the wait ends, or sooner through the lease or other processes.
         */
        val SHORT_WAIT = 8.seconds
        val LONG_WAIT = 24.seconds
        const val MAXIMUM_PROCESSES_FOR_SHORT_WAIT = 24

        /** Time for which callers may cache an address list; some of them keep it three times as long. */
        val ADDRESS_LIST_LIFETIME = 1.seconds
    }
}
