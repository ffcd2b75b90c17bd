package redwingcross.systemtests.soak

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.ExchangeFailure
import redwingcross.connection.http.HttpConnections
import redwingcross.connection.http.OutgoingConnectionLimits
import redwingcross.connection.http.RemoteEndpoint
import redwingcross.connection.http.RequestHead
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.ResponseListener
import redwingcross.request.MonotonicClock
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the time to the first event with 32 concurrent streams, sent directly to the heads of the groups and through
 * one edge process, and the CPU time that the edge uses; prints one line per run.
 */
internal object RelayMeasurement {
    private const val STREAMS = 32
    private const val ROUNDS = 20
    private const val EVENTS = 40
    private const val WARM_UP_ROUNDS = 20

    /** The engine stand-in emits an event every 20 ms. */
    private const val STREAM_MILLIS = EVENTS * 20L
    private const val DELAY_FACTOR = 5

    /** Target of the streams, and the `Expect-Instance` header of direct ones, by stream index. */
    private class RequestPath(val label: String, val target: (Int) -> RemoteEndpoint, val instance: (Int) -> String?)

    private val loop = NioEventLoopGroup(1)
    private val connections =
        HttpConnections(
            loop,
            MonotonicClock.system,
            OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = STREAMS),
        )
    private val attemptCounter = AtomicInteger()

    @JvmStatic
    fun main(arguments: Array<String>) {
        SoakDeployment(Path.of("target", "relay"), subnet = 251, nodeCount = 1).use { deployment ->
            deployment.start()
            while (!deployment.isServing()) {
                deployment.refreshAddresses()
                Thread.sleep(100)
            }
            Thread.sleep(2000)
            val process = checkNotNull(deployment.nodes.single().process)
            val edge = RemoteEndpoint(InetSocketAddress(deployment.nodes.single().ip, EdgeNode.CALLER_PORT), "edge")
            var heads = emptyList<Pair<String, InetSocketAddress>>()
            deployment.onLoop { heads = deployment.fabric.openHeads("small") }
            val direct = RequestPath(
                "direct",
                { heads[it % heads.size].let { (id, address) -> RemoteEndpoint(address, id) } },
                { heads[it % heads.size].first },
            )
            val viaEdge = RequestPath("edge", { edge }, { null })
            run(viaEdge, WARM_UP_ROUNDS)
            for (path in listOf(direct, viaEdge, direct, viaEdge)) {
                val before = process.processorTime()
                val startedAt = System.nanoTime()
                val firstDelays = run(path, ROUNDS)
                val processorSeconds = process.processorTime() - before
                val seconds = (System.nanoTime() - startedAt) / 1e9
                val events = ROUNDS * STREAMS * EVENTS
                println(
                    "path=${path.label} streams=$STREAMS requests=${firstDelays.size} p50=%.1fms p95=%.1fms ".format(
                        firstDelays[firstDelays.size / 2],
                        firstDelays[firstDelays.size * 95 / 100],
                    ) + "edge_processor=%.3fs events=$events seconds=%.1f".format(processorSeconds, seconds),
                )
            }
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Returns the sorted times to the first event in ms. Each of the parallel sequences starts at a random offset. */
    private fun run(path: RequestPath, rounds: Int): List<Double> {
        val firstDelays = ConcurrentLinkedQueue<Double>()
        val done = CountDownLatch(STREAMS)
        repeat(STREAMS) { index ->
            val startNext = object : () -> Unit {
                private var left = rounds

                override fun invoke() {
                    if (left-- == 0) done.countDown() else send(path, index, firstDelays, this)
                }
            }
            loop.next().schedule(startNext, Random.nextLong(STREAM_MILLIS), TimeUnit.MILLISECONDS)
        }
        check(done.await(rounds * STREAM_MILLIS * DELAY_FACTOR, TimeUnit.MILLISECONDS)) { "streams timed out" }
        return firstDelays.sorted()
    }

    private fun send(path: RequestPath, index: Int, firstDelays: ConcurrentLinkedQueue<Double>, next: () -> Unit) {
        val attempt = "%016x".format(attemptCounter.incrementAndGet())
        val headers = DefaultHttpHeaders().add("Host", SoakCallers.HOST).add("Attempt-Id", attempt)
            .add("Model", "small").add("Token-Counts", "100,$EVENTS").add("Deadline-Ms", "8000")
        val instance = path.instance(index)
        if (instance == null) {
            headers.add("Authorization", "Token ${SoakCallers.KEY}")
        } else {
            headers.add("Expect-Instance", instance).add("Tenant", "clinic")
        }
        val head = RequestHead("POST", "/chat-small/$attempt", headers)
        val sentAt = System.nanoTime()
        val listener = object : ResponseListener {
            private var isFirst = true

            override fun onHead(head: ResponseHead) = check(head.status == 200) { "stream got status ${head.status}" }

            override fun onData(bytes: ByteArray) {
                if (isFirst) firstDelays += (System.nanoTime() - sentAt) / 1e6
                isFirst = false
            }

            override fun onEnd() = next()

            override fun onFailure(failure: ExchangeFailure) = error("stream failed: $failure")

            override fun onError(cause: Throwable) = throw cause
        }
        connections.exchange(path.target(index), head, "x".toByteArray(), { true }, listener)
    }
}
