package redwingcross.process.edge

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerConnectionLimits
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.CallerListener
import redwingcross.connection.http.HttpConnections
import redwingcross.connection.http.OutgoingConnectionLimits
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.connection.http.RequestFailure
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.ResponseListener
import redwingcross.connection.http.copyEndToEndTo
import redwingcross.request.AttemptId
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.ModelName
import redwingcross.request.MonotonicClock
import redwingcross.request.PromptPart
import redwingcross.request.RequestTrait
import redwingcross.request.ServiceName
import redwingcross.request.forward.GenerationRequest
import redwingcross.request.forward.InboundRequest
import redwingcross.request.forward.Repeatability
import redwingcross.request.forward.RetryBudgetLimits
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.Destination
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.GatewayShare
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupMembership
import redwingcross.version.fleet.GroupNames
import redwingcross.version.fleet.MemberPhase
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.ModelSpec
import redwingcross.version.fleet.Route
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.Tenant
import redwingcross.version.fleet.UpdateSource
import redwingcross.version.forwarding.BackendNotice
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.RequestCodec
import redwingcross.version.forwarding.ResponseMetadata
import redwingcross.version.placement.LeaseEpoch
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.Callable
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A gateway with real connections from callers and to back ends that the tests control, either by exchanges or byte by
 * byte.
 */
abstract class GatewayFixture(isAdmissionShared: Boolean = false) {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val app = ServiceName("app")
    protected val arrivals = LinkedBlockingQueue<CallerExchange>()
    protected val outcomes = LinkedBlockingQueue<ForwardOutcome>()

    /** Event lines of the gateway. */
    protected val logged = LinkedBlockingQueue<String>()

    /** Requests that back ends began to run. */
    protected val begun = LinkedBlockingQueue<ForwardJob>()

    /** Fails calls of the gateway's dependencies; used on the event loop. */
    protected val steps = FailingSteps()

    /** Failures in the handling of requests. */
    protected val failures = LinkedBlockingQueue<RequestFailure>()
    private val listeners = mutableListOf<CallerListener>()
    private val rawArrivals = LinkedBlockingQueue<RawArrival>()

    /** Back ends that the gateway sent requests to, in order. */
    protected val sends = LinkedBlockingQueue<ChosenBackend>()
    private val relayed = LinkedBlockingQueue<String>()
    private val rawServers = mutableListOf<ServerSocket>()
    private val connections =
        HttpConnections(
            group,
            MonotonicClock.system,
            OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = 4),
            onResponse = { endpoint, head ->
                val start = endpoint.start?.let(::EngineStart)
                val pause = head.headers.get("Pause")?.toInt()?.seconds
                val notice = BackendNotice(head.headers.contains("Leaving"), pause)
                gateway.backendAnswered(BackendServer(endpoint.identity), start, notice)
            },
        )
    protected var retryExtra = 100.0
    protected val blockedRequests = LinkedBlockingQueue<RequestTrait>()

    /** Time that has passed for the attribution of crashes only. */
    protected var timePassed = Duration.ZERO
    private var fleet = FleetState()
    protected val crashes = CrashAttributionTask(
        CrashAttributionDependencies(
            table = { fleet.table },
            onNewEvidence = {},
            onBlocked = { gateway.endUnsendableRequests() },
            countCrash = {},
            countBlocked = blockedRequests::put,
            log = ::writeLog,
        ),
        MonotonicClock { MonotonicClock.system.now() + timePassed },
    )

    /** Set by tests of the health that gateways share; must not read a field of the test class when it is called. */
    protected open val sharedHealth: SharedHealthDependencies? get() = null
    protected val gateway: GatewayTask = GatewayTask(dependencies(), crashes, ::bounds, Random(1), isAdmissionShared)

    private fun bounds() = EdgeBounds(
        drain = 2.seconds,
        stopGrace = 8.seconds,
        retryBudget = RetryBudgetLimits(0.0, retryExtra, 10.seconds),
        coldOverrun = 1.5,
        coldSlack = 5.0,
        maximumListLifetime = 5.seconds,
        configurationApply = 2.seconds,
    )

    private fun dependencies() = GatewayDependencies(
        clock = MonotonicClock { MonotonicClock.system.now().also { steps.pass("clock") } },
        codec = RequestCodec(
            { head -> codec.decode(head).also { steps.pass("decode") } },
            { head, request, fields -> codec.encode(head, request, fields).also { steps.pass("encode") } },
            { request, answer -> codec.metadata(request, answer).also { steps.pass("metadata") } },
            { delay -> codec.refusal(delay).also { steps.pass("refusal") } },
        ),
        fleet = { fleet.also { steps.pass("fleet") } },
        gatewayShare = { GatewayShare("self", setOf("self")).also { steps.pass("gatewayShare") } },
        send = { backend, head, body, _, matches, listener ->
            steps.pass("send")
            val address = InetSocketAddress("127.0.0.1", backend.address.value.substringAfter(':').toInt())
            val endpoint = RemoteEndpoint(address, backend.server.value, backend.start?.unixMillis)
            sends.put(backend)
            connections.exchange(endpoint, head, body, matches, recording(listener)).also { steps.pass("sent") }
        },
        runLater = { delay, action ->
            steps.pass("runLater")
            val future = loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            CancelTimer { future.cancel(false) }
        },
        reportSuspectedGroup = { steps.pass("reportSuspectedGroup") },
        coldReported = { _, _ -> },
        recordOutcome = { outcomes.put(it.also { steps.pass("recordOutcome") }) },
        log = { event, pairs -> writeLog(event, pairs).also { steps.pass("log") } },
        sharedHealth = sharedHealth,
        places = places(),
        runBegan = { begun.put(it.also { steps.pass("runBegan") }) },
    )

    private fun writeLog(event: String, pairs: Array<out Pair<String, Any?>>): Unit =
        logged.put("$event ${pairs.joinToString(" ") { (name, value) -> "$name=$value" }}")

    /** Reaches the owner of the places; null if the gateway chooses by itself. */
    protected open fun places(): PlaceNetwork? = null

    private fun recording(listener: ResponseListener) = object : ResponseListener by listener {
        override fun onHead(head: ResponseHead) {
            listener.onHead(head)
            relayed.put("head ${head.status}\n")
        }

        override fun onData(bytes: ByteArray) {
            listener.onData(bytes)
            relayed.put(bytes.decodeToString())
        }
    }

    /** Waits until the gateway has handled [text] from a back end: a reset would discard what it has not read. */
    protected fun awaitHandled(text: String) {
        val handled = StringBuilder()
        while (text !in handled) {
            handled.append(assertNotNull(relayed.poll(5, TimeUnit.SECONDS), "no $text after '$handled' in 5 s"))
        }
    }

    private fun listen(serve: (CallerExchange) -> Unit): InetSocketAddress {
        val address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            InetSocketAddress(it.inetAddress, it.localPort)
        }
        val bounds = { CallerConnectionLimits(100_000, 5.seconds, 5.seconds) }
        listeners += CallerListener(
            group,
            MonotonicClock.system,
            { 10_000 },
            bounds,
            {},
            serve,
            onFailed = failures::put,
        ).also { it.start(address) }
        return address
    }

    private val callers = listen { gateway.serve(it) }

    private fun route(name: String, kind: Repeatability, maximumSends: Int = 2) = Route(
        name, "h", "/$name/", kind, ROUTE_TIMEOUT, maximumSends, priority = 3, anonymous = false,
        listOf(
            Destination(app, 1),
        ),
    )

    protected val model = ModelName("m")

    protected val pool = ModelPool(
        slots = 6,
        models = listOf(ModelSpec(model, groupSize = 1, share = 1.0, load = 1.seconds, warm = 1.seconds)),
        loadsPerSecond = 1.0,
        concurrentLoads = 1,
        openingTime = 1.seconds,
        reportLag = Duration.ZERO,
    )

    private fun openGroup(index: Int): GroupMembership {
        val epoch = GroupEpoch(index.toLong())
        return GroupMembership(GroupNames.compose(model, LeaseEpoch(1), epoch), epoch, 0, MemberPhase.OPEN)
    }

    /** Starts [count] engines, each of them a serving group, and applies a configuration that routes to them. */
    protected fun startEngines(count: Int) = applyBackends(List(count) { listen(arrivals::put) }, pool)

    /** Starts [count] back ends and applies a configuration that routes to them. */
    protected fun startBackends(count: Int) = applyBackends(List(count) { listen(arrivals::put) })

    /**
     * Starts [count] back ends, engines if there is a [pool], that send exactly the bytes that a test writes to
     * [rawArrivals].
     */
    protected fun startRawBackends(count: Int, pool: ModelPool? = null) {
        val servers = List(count) { ServerSocket(0, 10, InetAddress.getLoopbackAddress()) }
        rawServers += servers
        for (server in servers) {
            thread(isDaemon = true) { runCatching { while (true) rawArrivals.put(server.accept().awaitRequest()) } }
        }
        applyBackends(servers.map { InetSocketAddress(it.inetAddress, it.localPort) }, pool)
    }

    private fun Socket.awaitRequest() = RawArrival(this, readThrough("\r\n\r\n"))

    protected fun nextRawArrival() =
        assertNotNull(rawArrivals.poll(5, TimeUnit.SECONDS), "no back end got a request in 5 s")

    /** A request whose [head] a back end has read from [socket]. */
    protected inner class RawArrival(private val socket: Socket, private val head: String) : AutoCloseable by socket {
        /** The last event that the caller has; null if the request starts a stream. */
        val resumeAfter: String?
            get() = Regex("\r\nResume: (\\d+)\r\n", RegexOption.IGNORE_CASE).find(head)?.groupValues?.get(1)

        fun send(text: String): Unit = socket.getOutputStream().write(text.toByteArray())

        /** Waits until the next request on the same connection was received. */
        fun awaitNextRequest() {
            socket.readThrough("\r\n\r\n")
        }

        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    /** Lists the back ends again after they have started for the [number]th time. */
    protected fun listStart(number: Long) = onLoop {
        val listed = fleet.table.engines.values.map { it.status.copy(start = EngineStart(number)) }
        fleet = FleetDecision.onUpdate(fleet, FleetUpdate.ServersListed(listed), MonotonicClock.system.now())
    }

    /** Returns to the state of a process that knows no configuration and no back ends. */
    protected fun forgetFleet() = onLoop { fleet = FleetState() }

    protected fun groupOf(server: BackendServer) =
        checkNotNull(fleet.table.engines.getValue(server).status.membership).group

    /** Applies a configuration without any route and service, as after an operator's change. */
    protected fun removeServices() = onLoop {
        val next =
            FleetConfiguration(ConfigurationVersion(2), emptyList(), emptyMap(), CallerLimits(), emptyList())
        fleet = FleetDecision.onUpdate(fleet, FleetUpdate.ConfigurationChanged(next), MonotonicClock.system.now())
    }

    private fun applyBackends(addresses: List<InetSocketAddress>, pool: ModelPool? = null) {
        val servers = addresses.mapIndexed { index, address ->
            EngineStatus(
                BackendServer("e$index"), app, Endpoint("127.0.0.1:${address.port}"), AvailabilityZone("a"), 6, false,
                Duration.ZERO, EngineStart(1), null, emptyList(), pool?.let { openGroup(index) },
            )
        }
        val configuration = FleetConfiguration(
            ConfigurationVersion(1),
            listOf(
                route("non-idempotent", Repeatability.NON_IDEMPOTENT),
                route("idempotent", Repeatability.IDEMPOTENT),
                route("stream", Repeatability.RESUMABLE_STREAM),
                route("long-stream", Repeatability.RESUMABLE_STREAM, maximumSends = 3),
                route("generation", Repeatability.RESUMABLE_STREAM, maximumSends = 4),
                route("plain-generation", Repeatability.IDEMPOTENT, maximumSends = 4),
            ),
            mapOf(app to ServiceSpec(app, 100, Duration.ZERO, 0.0, pool)),
            CallerLimits(),
            listOf(Tenant(Customer("urgent"), listOf("k1"), 0), Tenant(Customer("normal"), listOf("k2"), null)),
        )
        val updates = listOf(FleetUpdate.ConfigurationChanged(configuration), FleetUpdate.ServersListed(servers)) +
            UpdateSource.entries.map { FleetUpdate.Confirmed(it, StorePosition.inFirstEra(1)) }
        fleet = updates.fold(fleet) { state, next -> FleetDecision.onUpdate(state, next, MonotonicClock.system.now()) }
    }

    /** Calls a model with a prompt whose shared parts are [parts], separated by commas. */
    protected fun generate(parts: String, route: String = "generation", attempt: String = "7") =
        call(route, fields = "Model: m\r\nParts: $parts\r\n", attempt = attempt)

    protected fun call(
        route: String,
        key: String = "k2",
        fields: String = "",
        keepAlive: Boolean = false,
        attempt: String = "7",
    ): Socket {
        val socket = Socket(callers.address, callers.port).also { it.soTimeout = READ_TIMEOUT_MILLIS }
        val head = "GET /$route/x HTTP/1.1\r\nHost: h\r\nId: $attempt\r\nKey: $key\r\n"
        val request = "$head$fields${if (keepAlive) "" else "Connection: close\r\n"}\r\n"
        socket.getOutputStream().write(request.toByteArray())
        return socket
    }

    protected fun Socket.readAnswer(): String = use { it.getInputStream().readAllBytes().decodeToString() }

    /** Everything that the caller receives until its connection ends, and whether a reset ended it. */
    protected fun Socket.readUntilClosed(): Pair<String, Boolean> = use {
        val received = StringBuilder()
        val wasReset = try {
            it.readTo(received)
            false
        } catch (_: SocketException) {
            true
        }
        received.toString() to wasReset
    }

    private fun Socket.readTo(received: StringBuilder) {
        while (true) {
            val next = getInputStream().read()
            if (next < 0) return
            received.append(next.toChar())
        }
    }

    /** Sends the head and the first event of a stream, waits until the caller has them, and breaks the stream off. */
    protected fun breakOffAfterFirstEvent(caller: Socket) {
        val first = nextArrival()
        onLoop {
            first.beginStream(200, headers("Id" to "7", "Signed" to "1", "Content-Type" to "text/event-stream"))
            first.write("id: 1\ndata: a\n\n".toByteArray())
        }
        caller.readThrough("data: a\n\n")
        onLoop(first::abort)
    }

    protected fun Socket.readThrough(end: String): String {
        val received = StringBuilder()
        while (!received.endsWith(end)) {
            val next = getInputStream().read()
            check(next >= 0) { "closed after $received" }
            received.append(next.toChar())
        }
        return received.toString()
    }

    protected fun awaitWaitingRequest() = awaitTrue("no request waits for a place") { gateway.waitingRequests > 0 }

    /** Waits until the gateway has received [count] requests since the steps began. */
    protected fun awaitReceived(count: Int) = awaitTrue("not $count requests") { steps.count("decode") >= count }

    private fun awaitTrue(failure: String, condition: () -> Boolean) {
        val deadline = TimeSource.Monotonic.markNow() + 5.seconds
        while (!onLoop(condition)) {
            assertTrue(deadline.hasNotPassedNow(), "$failure after 5 s")
            Thread.sleep(10)
        }
    }

    protected fun nextArrival() = assertNotNull(arrivals.poll(5, TimeUnit.SECONDS), "no back end got a request in 5 s")

    protected fun <T> onLoop(action: () -> T): T = loop.submit(Callable(action)).get()

    protected fun headers(vararg pairs: Pair<String, String>) =
        DefaultHttpHeaders().also { all -> pairs.forEach { (name, value) -> all.add(name, value) } }

    protected fun CallerExchange.respondSigned(body: String) = onLoop {
        respond(200, headers("Id" to "7", "Signed" to "1"), body.toByteArray())
    }

    protected fun CallerExchange.decline() = onLoop {
        respond(503, headers("Id" to "7", "Declined" to "1"), ByteArray(0))
    }

    /** Closes the back end connection of a request, and checks that the request is not sent to another back end. */
    protected fun assertNotSentAgain(route: String) {
        val caller = call(route)
        nextArrival().let { onLoop(it::abort) }
        assertTrue("502" in caller.readAnswer())
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS))
    }

    @AfterTest
    fun close() {
        listeners.forEach(CallerListener::stopAccepting)
        rawServers.forEach(ServerSocket::close)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    protected companion object {
        /** Head of a stream that has no length, so that its connection ends it. */
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n"

        /** Status with which another back end than the expected one answers. */
        const val MISDIRECTED = 421

        private const val READ_TIMEOUT_MILLIS = 5000

        /** Longer than the read timeout, so that a request that hangs is not taken for one that was broken off. */
        private val ROUTE_TIMEOUT = 10.seconds

        private val codec = RequestCodec(
            decode = { head ->
                val headers = head.headers
                InboundRequest(
                    AttemptId(headers.get("Id")),
                    head.method,
                    headers.get("Host"),
                    head.target,
                    null,
                    headers.get("Key"),
                    resumeAfter = headers.get("Resume")?.toLong(),
                    generation = headers.get("Model")?.let { model ->
                        val parts = headers.get("Parts").orEmpty().split(',').filter { it.isNotEmpty() }
                        GenerationRequest(ModelName(model), parts.map(::PromptPart))
                    },
                )
            },
            encode = { original, request, send ->
                val headers = DefaultHttpHeaders()
                original.headers.copyEndToEndTo(headers, setOf("key", "resume"))
                headers.add("Priority", send.priority)
                (send.resumeAfter ?: request.resumeAfter)?.let { headers.add("Resume", it) }
                RequestHead(request.method, request.target, headers)
            },
            metadata = { request, answer ->
                val headers = answer.headers
                ResponseMetadata(
                    isForAttempt = headers.get("Id").let { it == null || it == request.attempt.value },
                    isIdentified = headers.contains("Id") || answer.isFirstOnConnection,
                    declined = headers.contains("Declined"),
                    promisesNotRun = answer.status == 503,
                    misdirected = answer.status == MISDIRECTED,
                    signed = headers.contains("Signed"),
                    encoded = false,
                    coldFor = null,
                    faultyEngine = null,
                )
            },
            refusal = { delay -> DefaultHttpHeaders().also { if (delay != null) it.add("Retry-Delay", delay) } },
        )
    }
}
