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
 * Prints the time to the first event with 32 streams at a time, to the heads of the groups directly and through one
 * edge process, and the processor time that the edge spends on an event.
 */
internal object RelayMeasurement {
    private const val STREAMS = 32
    private const val ROUNDS = 20
    private const val EVENTS = 40
    private const val WARM_UP_ROUNDS = 20

    /** An engine makes an event each 20 ms. */
    private const val STREAM_MILLIS = EVENTS * 20L
    private const val LARGEST_DELAY = 5

    /** Where the streams go. */
    private class StreamPath(val label: String, val target: (Int) -> RemoteEndpoint, val instance: (Int) -> String?)

    private val loop = NioEventLoopGroup(1)
    private val connections =
        HttpConnections(
            loop,
            MonotonicClock.system,
            OutgoingConnectionLimits(connectTimeout = 2.seconds, maximumIdle = STREAMS),
        )
    private val numbers = AtomicInteger()

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
            val direct = StreamPath(
                "direct",
                { heads[it % heads.size].let { (id, address) -> RemoteEndpoint(address, id) } },
                { heads[it % heads.size].first },
            )
            val through = StreamPath("edge", { edge }, { null })
            run(through, WARM_UP_ROUNDS)
            for (path in listOf(direct, through, direct, through)) {
                val before = process.processorTime()
                val startedAt = System.nanoTime()
                val firsts = run(path, ROUNDS)
                val spent = process.processorTime() - before
                val seconds = (System.nanoTime() - startedAt) / 1e9
                val events = ROUNDS * STREAMS * EVENTS
                println(
                    "path=${path.label} streams=$STREAMS requests=${firsts.size} p50=%.1fms p95=%.1fms ".format(
                        firsts[firsts.size / 2],
                        firsts[firsts.size * 95 / 100],
                    ) + "edge_processor=%.3fs events=$events seconds=%.1f".format(spent, seconds),
                )
            }
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Times to the first event in milliseconds, sorted. Each stream follows the one before, so starts are spread. */
    private fun run(path: StreamPath, rounds: Int): List<Double> {
        val firsts = ConcurrentLinkedQueue<Double>()
        val done = CountDownLatch(STREAMS)
        repeat(STREAMS) { index ->
            val follow = object : () -> Unit {
                private var left = rounds

                override fun invoke() {
                    if (left-- == 0) done.countDown() else send(path, index, firsts, this)
                }
            }
            loop.next().schedule(follow, Random.nextLong(STREAM_MILLIS), TimeUnit.MILLISECONDS)
        }
        check(done.await(rounds * STREAM_MILLIS * LARGEST_DELAY, TimeUnit.MILLISECONDS)) { "streams did not end" }
        return firsts.sorted()
    }

    private fun send(path: StreamPath, index: Int, firsts: ConcurrentLinkedQueue<Double>, next: () -> Unit) {
        val attempt = "%016x".format(numbers.incrementAndGet())
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

            override fun onHead(head: ResponseHead) = check(head.status == 200) { "status ${head.status}" }

            override fun onData(bytes: ByteArray) {
                if (isFirst) firsts += (System.nanoTime() - sentAt) / 1e6
                isFirst = false
            }

            override fun onEnd() = next()

            override fun onFailure(failure: ExchangeFailure) = error("stream failed: $failure")
        }
        connections.exchange(path.target(index), head, "x".toByteArray(), { true }, listener)
    }
}
