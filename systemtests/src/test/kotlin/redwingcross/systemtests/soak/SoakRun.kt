package redwingcross.systemtests.soak

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.serialization.json.Json
import redwingcross.systemtests.platform.EnginePlace
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
import kotlin.random.Random

/** What one seed showed. */
internal class SoakResult(val seed: Long, val findings: List<String>, val summary: String, val faults: List<String>)

/** One run: real edge processes between callers and stand-ins, a time of faults, a time to recover, a calm time. */
internal class SoakRun(private val seed: Long, folder: Path) : AutoCloseable {
    private val random = Random(seed)
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val store = StoreStandin(loop)
    private val fabric = FabricStandin(loop, store)
    private val logs = Files.createDirectories(folder.resolve("seed-$seed"))
    private val storeAddress = fabric.listen(store::serve)

    /** Runs of different seeds at the same time use loopback addresses of their own. */
    private val subnet = 1 + (seed.mod(SUBNETS))
    private val nodes = List(NODES) { EdgeNode(it, subnet, logs, LinkProxy(loop, storeAddress)) }
    private val faults = SoakFaults(nodes, fabric, random, ::onLoop)
    private val startedAt = System.nanoTime()
    private val directory = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build()
    private var version = 1L

    @Volatile
    private var addresses = emptyList<String>()

    private fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).get()
    }

    fun run(): SoakResult {
        val engines = engines()
        onLoop {
            configureNow("app-a")
            engines.forEach(fabric::add)
        }
        nodes.forEach(EdgeNode::start)
        val findings = mutableListOf<String>()
        awaitServing()
        SoakCallers({ addresses }, seed).use { callers ->
            val faultsUntil = now() + FAULT_MILLIS
            while (now() < faultsUntil) {
                faults.inject(now())
                if (random.nextInt(3) == 0) configure("app-${'a' + random.nextInt(2)}")
                val next = now() + random.nextInt(200, 900)
                while (now() < next) step()
            }
            faults.healAll()
            configure("app-a")
            val recovered = now() + RECOVERY_MILLIS
            while (now() < recovered) step()
            val (duringFaults, failedDuringFaults) = callers.takeCounts()
            onLoop(fabric.lastService::clear)
            val calm = now() + CALM_MILLIS
            while (now() < calm) step()
            val (served, failed) = callers.takeCounts()
            val tooMany = failed > served * LARGEST_FAILED_SHARE || served < FEWEST_SERVED
            if (tooMany) findings += "RECOVER: $failed failed, $served served when calm"
            callers.close()
            findings += callers.findings
            onLoop { findings += verdicts(callers) }
            val summary = "seed=$seed faults_served=$duringFaults faults_failed=$failedDuringFaults " +
                "calm_served=$served calm_failed=$failed findings=${findings.size}"
            return SoakResult(seed, findings, summary, faults.record)
        }
    }

    /** What the engines saw, compared with what callers were told. */
    private fun verdicts(callers: SoakCallers): List<String> {
        val twice = callers.bookings.filter {
            (fabric.runs[it] ?: 0) > 1
        }.map { "TWICE: booking $it ran ${fabric.runs[it]} times" }
        val refused = callers.refusals.filter { it.attempt in fabric.runs }
            .filter { refusal -> refusal.attempt in callers.bookings }
            .map { "REFUSED: booking ${it.attempt} ran and was answered ${it.status}" }
        val stale = fabric.lastService.filterKeys { it == "/status" }.filterValues { it != "app-a" }
            .map { "CONFIG: ${it.key} still goes to ${it.value}" }
        return fabric.findings + twice + refused + stale + exceptions()
    }

    /** A task that ends with an exception leaves what it was to do undone. */
    private fun exceptions(): List<String> = Files.list(logs).use { files ->
        files.toList().filter { it.toString().endsWith(".log") }.flatMap { file ->
            Files.readAllLines(file).filter { "raised an exception" in it }
                .map { "EXCEPTION: ${file.fileName} ${it.take(LOGGED_CHARACTERS)}" }
        }
    }

    private fun engines(): List<EngineStandin> {
        val models = List(ENGINES) { index ->
            val zone = if (index % 2 == 0) "zone-a" else "zone-b"
            val place = EnginePlace("pool", "domain-${index * DOMAINS / ENGINES}", zone, isModelEngine = true)
            EngineStandin("engine-$index", place, fabric)
        }
        val plain = listOf("app-a", "app-b").flatMap { service ->
            List(2) { EngineStandin("$service-$it", EnginePlace(service, "", "zone-a", false), fabric) }
        }
        return models + plain
    }

    private fun configure(statusService: String) = onLoop { configureNow(statusService) }

    private fun configureNow(statusService: String) {
        version += 1 + random.nextInt(3)
        store.put("config", "main", Json.parseToJsonElement(configuration(version, statusService)))
    }

    private fun step() {
        faults.advance(now())
        addresses = nodes.firstNotNullOfOrNull(::resolve).orEmpty()
        Thread.sleep(STEP_MILLIS)
    }

    private fun resolve(node: EdgeNode): List<String>? = runCatching {
        val request = HttpRequest.newBuilder(URI("http://${node.directory}/redwingcross/resolve?name=h"))
            .timeout(Duration.ofMillis(300)).build()
        val answer = directory.send(request, HttpResponse.BodyHandlers.ofString())
        Regex("\"([0-9.]+:[0-9]+)\"").findAll(answer.body()).map { it.groupValues[1] }.toList().ifEmpty { null }
    }.getOrNull()

    private fun awaitServing() {
        val limit = now() + START_MILLIS
        while (now() < limit) {
            step()
            var open = 0
            onLoop { open = fabric.engines.values.count(EngineStandin::isOpenHead) }
            if (addresses.size == NODES && open >= 2) return
        }
    }

    override fun close() {
        nodes.forEach(EdgeNode::close)
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun configuration(version: Long, statusService: String) = """
        {"version":$version,"routes":[
        ${route("book", "non_idempotent", "app-b", 1)},
        ${route("status", "idempotent", statusService, 2)},
        ${route("chat-small", "streaming", "pool", 2)},
        ${route("chat-large", "streaming", "pool", 2)}],
        "services":[
        {"name":"app-a","health-path":"/health","max-conns":100,"cold-s":0,"cold-per-s":0},
        {"name":"app-b","health-path":"/health","max-conns":100,"cold-s":0,"cold-per-s":0},
        {"name":"pool","health-path":"/health","max-conns":200,"cold-s":0,"cold-per-s":0,"engine":{"slots":12,
        "kv-capacity":100000,"stride":1,"models":[
        {"name":"large","size":3,"share":0.5,"pace":1.0,"load-s":0.6,"warm-s":0.2},
        {"name":"small","size":2,"share":0.5,"pace":1.0,"load-s":0.6,"warm-s":0.2}],
        "step_ms":20,"per_seq_ms":0.1,"read_per_s":45900,"report_lag_ms":0,"loads-per-s":20,"loads_at_once":20,
        "usual":{"prompt":100,"answer":15},"form-ms":100}}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
        "tenants":[{"name":"${EngineStandin.TENANT}","api-keys":["${SoakCallers.KEY}"],"priority":1}]}
    """

    private fun route(name: String, kind: String, service: String, sends: Int) =
        """{"name":"$name","host":"${SoakCallers.HOST}","path-prefix":"/$name/","kind":"$kind","timeout-ms":3000,
        "target-latency-ms":300,"priority":1,"service":"$service","max-attempts":$sends,"resumable":true}"""

    private companion object {
        const val NODES = 4
        const val LOGGED_CHARACTERS = 160
        const val SUBNETS = 250
        const val ENGINES = 12
        const val DOMAINS = 2
        const val START_MILLIS = 15_000L
        const val FAULT_MILLIS = 8_000L

        /** Processes start, take the duties over and form what was lost within `recovery-s` of the settings, 12 s. */
        const val RECOVERY_MILLIS = 12_000L
        const val CALM_MILLIS = 3_000L
        const val STEP_MILLIS = 50L

        /** Nothing is disturbed in the calm time, so only requests that began before it may fail. */
        const val LARGEST_FAILED_SHARE = 0.05

        /** Twelve callers send ten times as many in the calm time. */
        const val FEWEST_SERVED = 60
    }
}
