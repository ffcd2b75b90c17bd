package redwingcross.process.edge

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerBounds
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.CallerListener
import redwingcross.connection.http.ConnectionBounds
import redwingcross.connection.http.HttpConnections
import redwingcross.connection.http.RemoteParty
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.copyEndToEndTo
import redwingcross.request.AttemptId
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
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
import redwingcross.version.fleet.FleetNews
import redwingcross.version.fleet.GatewayPlace
import redwingcross.version.fleet.NewsSource
import redwingcross.version.fleet.Route
import redwingcross.version.fleet.ServiceTerms
import redwingcross.version.fleet.Tenant
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.RequestCodec
import redwingcross.version.forwarding.ResponseMetadata
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests through a gateway's task over real connections, to back ends that answer as each test says. */
class GatewayTaskTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val app = ServiceName("app")
    private val arrivals = LinkedBlockingQueue<CallerExchange>()
    private val outcomes = LinkedBlockingQueue<ForwardOutcome>()
    private val listeners = mutableListOf<CallerListener>()
    private val connections =
        HttpConnections(group, MonotonicClock.system, ConnectionBounds(connectTimeout = 2.seconds, maximumIdle = 4))
    private var retryExtra = 100.0
    private var fleet = FleetState()
    private val gateway = GatewayTask(links(), ::bounds, Random(1))

    private fun bounds() = EdgeBounds(
        drain = 2.seconds,
        stopGrace = 8.seconds,
        retryBudget = RetryBudgetLimits(0.0, retryExtra, 10.seconds),
        coldOverrun = 1.5,
        coldSlack = 5.0,
        maximumListLifetime = 5.seconds,
    )

    private fun links() = GatewayLinks(
        clock = MonotonicClock.system,
        codec = codec,
        fleet = { fleet },
        place = { GatewayPlace("self", setOf("self")) },
        send = { backend, head, body, _, matches, listener ->
            val address = InetSocketAddress("127.0.0.1", backend.address.value.substringAfter(':').toInt())
            val party = RemoteParty(address, backend.server.value)
            connections.exchange(party, head, body, matches, listener)
        },
        runLater = { delay, action ->
            val future = loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            CancelTimer { future.cancel(false) }
        },
        suspect = {},
        coldReported = { _, _ -> },
        recordOutcome = outcomes::put,
        log = { _, _ -> },
    )

    private fun listen(serve: (CallerExchange) -> Unit): InetSocketAddress {
        val free = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            InetSocketAddress(it.inetAddress, it.localPort)
        }
        val bounds = { CallerBounds(100_000, 5.seconds, 5.seconds) }
        listeners += CallerListener(group, MonotonicClock.system, { 10_000 }, bounds, {}, serve).also { it.start(free) }
        return free
    }

    private val callers = listen { gateway.serve(it) }

    private fun route(name: String, kind: Repeatability) = Route(
        name, "h", "/$name/", kind, 5.seconds, 2, priority = 3, anonymous = false,
        listOf(
            Destination(app, 1),
        ),
    )

    /** Starts [count] back ends and a configuration that leads to them. */
    private fun serveWith(count: Int) {
        val servers = List(count) { index ->
            val address = listen(arrivals::put)
            EngineStatus(
                BackendServer("e$index"), app, Endpoint("127.0.0.1:${address.port}"), AvailabilityZone("a"), 6, false,
                Duration.ZERO, EngineStart(1), null, emptyList(), null,
            )
        }
        val configuration = FleetConfiguration(
            ConfigurationVersion(1),
            listOf(
                route("once", Repeatability.NON_IDEMPOTENT),
                route("again", Repeatability.IDEMPOTENT),
                route("stream", Repeatability.RESUMABLE_STREAM),
            ),
            mapOf(app to ServiceTerms(app, 100, Duration.ZERO, 0.0, null)),
            CallerLimits(),
            listOf(Tenant(Customer("urgent"), listOf("k1"), 0), Tenant(Customer("usual"), listOf("k2"), null)),
        )
        val news = listOf(FleetNews.Configured(configuration), FleetNews.ServersListed(servers)) +
            NewsSource.entries.map { FleetNews.Confirmed(it) }
        fleet = news.fold(fleet) { state, next -> FleetDecision.news(state, next, MonotonicClock.system.now()) }
    }

    private fun call(route: String, key: String = "k2"): Socket {
        val socket = Socket(callers.address, callers.port).also { it.soTimeout = 5000 }
        val request = "GET /$route/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: $key\r\nConnection: close\r\n\r\n"
        socket.getOutputStream().write(request.toByteArray())
        return socket
    }

    private fun Socket.answer(): String = use { it.getInputStream().readAllBytes().decodeToString() }

    private fun next() = assertNotNull(arrivals.poll(5, TimeUnit.SECONDS), "a back end gets the request")

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).get()
    }

    private fun headers(vararg pairs: Pair<String, String>) =
        DefaultHttpHeaders().also { all -> pairs.forEach { (name, value) -> all.add(name, value) } }

    private fun CallerExchange.answerSigned(body: String) = onLoop {
        respond(200, headers("Id" to "7", "Signed" to "1"), body.toByteArray())
    }

    private fun CallerExchange.decline() = onLoop {
        respond(503, headers("Id" to "7", "Declined" to "1"), ByteArray(0))
    }

    /** Lets the connection of a request be lost, and no other back end get it. */
    private fun assertNotSentAgain(route: String) {
        val caller = call(route)
        next().let { onLoop(it::abort) }
        assertTrue("502" in caller.answer())
        assertNull(arrivals.poll(300, TimeUnit.MILLISECONDS))
    }

    @AfterTest
    fun close() {
        listeners.forEach(CallerListener::stopAccepting)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a back end is told the tenant's priority, or the route's where the tenant has none`() {
        serveWith(1)
        val urgent = call("again", "k1")
        assertEquals("0", next().also { it.answerSigned("a") }.head.headers.get("Priority"))
        urgent.answer()
        val usual = call("again", "k2")
        assertEquals("3", next().also { it.answerSigned("a") }.head.headers.get("Priority"))
        assertTrue("200 OK" in usual.answer())
    }

    @Test
    fun `a request that may run once is not sent again after its connection is lost`() {
        serveWith(2)
        assertNotSentAgain("once")
    }

    @Test
    fun `a request that may run once goes to another back end after the first declined it`() {
        serveWith(2)
        val caller = call("once")
        next().decline()
        next().answerSigned("done")
        assertTrue("done" in caller.answer())
        assertEquals(2, outcomes.poll(5, TimeUnit.SECONDS)?.sends)
    }

    @Test
    fun `a request that every back end declined is refused with a time to come back`() {
        serveWith(2)
        val caller = call("once")
        repeat(2) { next().decline() }
        val answer = caller.answer()
        assertTrue("503" in answer && "Come-Back" in answer, answer)
    }

    @Test
    fun `nothing is sent twice once the retry budget is used up`() {
        retryExtra = 0.0
        serveWith(2)
        assertNotSentAgain("again")
    }

    @Test
    fun `a stream that breaks off in the middle of an event goes on after the last whole one`() {
        serveWith(2)
        val caller = call("stream")
        val first = next()
        onLoop {
            first.beginStream(200, headers("Id" to "7", "Signed" to "1"))
            first.write("id: 1\ndata: a\n\nid: 2\nda".toByteArray())
        }
        caller.getInputStream().read()
        onLoop(first::abort)
        val second = next()
        assertEquals("1", second.head.headers.get("Resume"))
        onLoop {
            second.beginStream(200, headers("Id" to "7", "Signed" to "2"))
            second.write("id: 2\ndata: b\n\n".toByteArray())
            second.endStream()
        }
        val answer = caller.answer()
        assertTrue("Signed: 1" in answer && "Signed: 2" !in answer, answer)
        assertTrue(answer.indexOf("data: a") in 0 until answer.indexOf("data: b"), answer)
        assertEquals(1, Regex("id: 2").findAll(answer).count(), answer)
    }

    @Test
    fun `a success without the back end's signature is never passed on`() {
        serveWith(2)
        val caller = call("again")
        next().let { onLoop { it.respond(200, headers("Id" to "7"), "spoiled".toByteArray()) } }
        next().answerSigned("sound")
        val answer = caller.answer()
        assertTrue("sound" in answer && "spoiled" !in answer, answer)
    }

    @Test
    fun `work for a caller that left is given up at the back end`() {
        serveWith(1)
        val caller = call("stream")
        val arrived = next()
        val gone = LinkedBlockingQueue<Unit>()
        onLoop { arrived.onGone = { gone.put(Unit) } }
        caller.close()
        assertNotNull(gone.poll(5, TimeUnit.SECONDS))
        assertEquals("caller_left", outcomes.poll(5, TimeUnit.SECONDS)?.outcome)
    }

    private companion object {
        val codec = RequestCodec(
            decode = { head ->
                val headers = head.headers
                InboundRequest(
                    AttemptId(headers.get("Id")),
                    head.method,
                    headers.get("Host"),
                    head.target,
                    null,
                    headers.get("Key"),
                    generation = null,
                )
            },
            encode = { original, request, send ->
                val headers = DefaultHttpHeaders()
                original.headers.copyEndToEndTo(headers, setOf("key"))
                headers.add("Priority", send.priority)
                send.resumeAfter?.let { headers.add("Resume", it) }
                RequestHead(request.method, request.target, headers)
            },
            metadata = { request, answer ->
                val headers = answer.headers
                ResponseMetadata(
                    isForAttempt = headers.get("Id") == request.attempt.value,
                    declined = headers.contains("Declined"),
                    misdirected = false,
                    signed = headers.contains("Signed"),
                    encoded = false,
                    coldFor = null,
                    faultyEngine = null,
                )
            },
            refusal = { pause -> DefaultHttpHeaders().also { if (pause != null) it.add("Come-Back", pause) } },
        )
    }
}
