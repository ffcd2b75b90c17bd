package redwingcross.systemtests.soak

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.serialization.json.Json
import redwingcross.connection.http.CallerExchange
import redwingcross.systemtests.platform.EngineAddress
import redwingcross.systemtests.platform.EngineEntry
import redwingcross.systemtests.platform.EngineStandin
import redwingcross.systemtests.platform.FabricStandin
import redwingcross.systemtests.platform.LinkProxy
import redwingcross.systemtests.platform.StoreStandin
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/**
 * Runs edge processes against stand-ins for the platform's store and engines. Concurrent deployments need different
 * values of `subnet`, the third octet of their loopback addresses.
 */
internal class SoakDeployment(
    private val logs: Path,
    subnet: Int,
    nodeCount: Int,
    /** Serves the calls to the platform's usage reports; null if the settings of the edges state none. */
    cloud: ((CallerExchange) -> Unit)? = null,
) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    val store = StoreStandin(loop)
    private val directoryClient = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build()
    private var version = 1L
    private var configuration = SoakConfiguration()
    val fabric = FabricStandin(loop, store)
    private val storeAddress = fabric.listen(store::serve)
    val nodes: List<EdgeNode>

    init {
        // exceptions() would otherwise report log lines of an earlier run.
        logs.toFile().deleteRecursively()
        Files.createDirectories(logs)
        val settings = cloud?.let { serve ->
            "cloud: { addr: \"127.0.0.1:${fabric.listen(serve).port}\", duties: [usage_report] }"
        }
        nodes = List(nodeCount) { EdgeNode(it, subnet, logs, LinkProxy(loop, storeAddress), settings.orEmpty()) }
    }

    /** Caller addresses from the latest successful lookup; empty if no edge responded to it. */
    @Volatile
    var addresses = emptyList<String>()
        private set

    /** Runs [action] on the event loop that owns the state of the stand-ins, and waits for it. */
    fun onLoop(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** Writes the first configuration, adds the engines and starts the edges. */
    fun start() {
        val engines = engines()
        onLoop {
            writeConfiguration(versionSteps = 1)
            fabric.allowedServices += allowedServices
            engines.forEach(fabric::add)
        }
        nodes.forEach(EdgeNode::start)
    }

    /** Writes a configuration that [change] makes of the latest one, with its version raised by [versionSteps]. */
    fun configure(versionSteps: Int = 1, change: (SoakConfiguration) -> SoakConfiguration) = onLoop {
        configuration = change(configuration)
        writeConfiguration(versionSteps)
    }

    /** Writes the latest configuration again; called on the event loop, after the store may have lost it. */
    fun rewriteConfiguration(): Unit = writeConfiguration(versionSteps = 0)

    private fun writeConfiguration(versionSteps: Int) {
        version += versionSteps
        store.put("config", "main", Json.parseToJsonElement(configuration.toJson(version)))
    }

    /** Requests the addresses of all edges from the first edge that responds. */
    fun refreshAddresses() {
        addresses = nodes.firstNotNullOfOrNull(::resolve).orEmpty()
    }

    private fun resolve(node: EdgeNode): List<String>? = runCatching {
        val request = HttpRequest.newBuilder(URI("http://${node.directory}/redwingcross/resolve?name=h"))
            .timeout(Duration.ofMillis(300)).build()
        val response = directoryClient.send(request, HttpResponse.BodyHandlers.ofString())
        Regex("\"([0-9.]+:[0-9]+)\"").findAll(response.body()).map { it.groupValues[1] }.toList().ifEmpty { null }
    }.getOrNull()

    /**
     * Whether all edges are listed and accept callers and at least [MIN_SERVING_GROUPS] groups are open. The others go
     * on listing an edge for a while after it was killed.
     */
    fun isServing(): Boolean {
        var open = 0
        onLoop { open = fabric.engines.values.count(EngineStandin::isOpenHead) }
        return addresses.size == nodes.size && open >= MIN_SERVING_GROUPS && nodes.all(EdgeNode::isListening)
    }

    /** Waits until the deployment serves; fails after [START_MILLIS]. */
    fun awaitServing() {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS)
        while (System.nanoTime() < end && !isServing()) {
            refreshAddresses()
            Thread.sleep(PAUSE_MILLIS)
        }
        assertTrue(isServing(), "the deployment does not serve after $START_MILLIS ms")
    }

    /** Log lines of uncaught exceptions; a task that ends with one leaves its work undone. */
    fun exceptions(): List<String> = Files.list(logs).use { files ->
        files.toList().filter { it.toString().endsWith(".log") }.flatMap { file ->
            Files.readAllLines(file).filter { "raised an exception" in it }
                .map { "EXCEPTION: ${file.fileName} ${it.take(LOGGED_CHARACTERS)}" }
        }
    }

    override fun close() {
        nodes.forEach(EdgeNode::close)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun engines(): List<EngineStandin> {
        val models = List(ENGINES) { index ->
            val zone = if (index % 2 == 0) "zone-a" else "zone-b"
            val entry = EngineEntry("pool", "domain-${index * DOMAINS / ENGINES}", zone, isModelEngine = true)
            EngineStandin("engine-$index", entry, fabric, EngineAddress(fabric))
        }
        val plain = listOf("app-a", "app-b").flatMap { service ->
            val entry = EngineEntry(service, "", "zone-a", isModelEngine = false)
            List(2) { EngineStandin("$service-$it", entry, fabric, EngineAddress(fabric)) }
        }
        return models + plain
    }

    private companion object {
        const val ENGINES = 12
        const val DOMAINS = 2

        /** Twelve engines have capacity for at least one group of each model and one more. */
        const val MIN_SERVING_GROUPS = 3
        const val LOGGED_CHARACTERS = 160
        const val START_MILLIS = 15_000L
        const val PAUSE_MILLIS = 100L

        val allowedServices = mapOf(
            "/book" to setOf("app-b"),
            "/status" to setOf("app-a", "app-b"),
            "/chat-small" to setOf("pool"),
            "/chat-large" to setOf("pool"),
            "/extra-0" to setOf("app-a"),
        )
    }
}
