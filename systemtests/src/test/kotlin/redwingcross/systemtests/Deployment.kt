package redwingcross.systemtests

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import redwingcross.request.Vm
import redwingcross.standins.engine.EngineHost
import redwingcross.standins.engine.EngineRun
import redwingcross.standins.engine.EngineSettings
import redwingcross.standins.engine.EngineSpec
import redwingcross.standins.platform.PlatformStandin
import redwingcross.standins.service.ServiceStandin
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** HTTP response that a caller received; header names are in lower case. */
internal class CallerResponse(val status: Int, val body: String, val headers: Map<String, String>)

/**
 * Runs two gateways and two controllers as processes against stand-ins for the platform, for six engines in two
 * availability zones and for one plain service.
 */
internal class Deployment : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("redwingcross-systemtest")
    private val vms = listOf("north", "south").flatMap { zone -> (1..3).map { Vm("$zone-$it") } }
    private val ports = freePorts(GATEWAYS * 3 + CONTROLLERS * 2)
    private val http = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .readTimeout(60, TimeUnit.SECONDS)
        .build()

    val platform: PlatformStandin = PlatformStandin().start()
    val service: ServiceStandin = ServiceStandin().start()
    val engines: EngineHost = EngineHost(
        vms.map { EngineSpec(it, 0, EngineSettings(coldLimit = 8, warmLimit = 32, tokenInterval = 5.milliseconds)) },
    )
    val gateways: List<ProgramProcess> = List(GATEWAYS, ::startGateway)
    val controllers: List<ProgramProcess> = List(CONTROLLERS, ::startController)

    fun callerAddress(gateway: Int): String = "127.0.0.1:${ports[gateway * 3]}"

    /** Submits, signs off and rolls out the bundle with the operator command. */
    fun rollOut() {
        val file = directory.resolve("bundle.yaml")
        Files.writeString(file, bundleText())
        listOf(
            listOf("bundle", "submit", file.toString(), "--id", "first"),
            listOf("bundle", "sign-off", "first"),
            listOf("bundle", "roll-out", "first"),
        ).forEach { check(operate(*it.toTypedArray()) == 0) { operatorLog() } }
    }

    /** Runs the operator command and returns its exit code. */
    fun operate(vararg arguments: String): Int {
        val options = listOf("--platform", platformUrl, "--operator", "tester")
        return ProgramProcess("redwingcross.cli.CliMainKt", "operator", directory, options + arguments).use {
            it.awaitExit(seconds = 60) ?: error("operator command did not exit within 60 s: ${operatorLog()}")
        }
    }

    /** Output of the most recent operator command. */
    fun operatorLog(): String = Files.readString(directory.resolve("operator.log"))

    /** Sets the faults, as JSON, of the stand-in (platform or plain service) on [port]; `{}` clears them. */
    fun injectFaults(port: Int, faults: String) {
        val request = Request.Builder()
            .url("http://127.0.0.1:$port/standin/faults")
            .put(faults.toRequestBody(json))
            .build()
        http.newCall(request).execute().use { check(it.isSuccessful) { "stand-in rejected faults: status ${it.code}" } }
    }

    /** JSON report of how often the plain service ran each idempotency key. */
    fun serviceRuns(): String = get("http://127.0.0.1:${service.port}/standin/runs").body

    /** Attempts that the engines of [zone] have run. */
    fun engineRuns(zone: String): List<EngineRun> =
        vms.filter { it.value.startsWith(zone) }.flatMap { engines.runs(it) }

    fun get(url: String): CallerResponse = send(Request.Builder().url(url).build())

    /** Sends a chat completion request through the gateway with index [gateway]. */
    fun chat(gateway: Int, tokens: Int, prompt: String = "roof 7", stream: Boolean = true): CallerResponse {
        val body = """{"model":"briefing","stream":$stream,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$prompt"}]}"""
        return post(gateway, "/v1/chat/completions", body, key = null)
    }

    /** Sends a booking, which must not run twice, through the gateway with index [gateway]. */
    fun book(gateway: Int, key: String?, site: String = "roof 7"): CallerResponse =
        post(gateway, "/services/dispatch/bookings", """{"site":"$site"}""", key)

    fun post(gateway: Int, path: String, body: String, key: String?, customer: String = "school"): CallerResponse {
        val request = Request.Builder()
            .url("http://${callerAddress(gateway)}$path")
            .header("X-Customer", customer)
            .post(body.toRequestBody(json))
        key?.let { request.header("Idempotency-Key", it) }
        return send(request.build())
    }

    /** Polls until [condition] holds; after [limit], fails with the last lines of the gateways' logs. */
    fun await(what: String, limit: Duration = 60.seconds, condition: () -> Boolean) {
        val started = TimeSource.Monotonic.markNow()
        while (!condition()) {
            check(started.elapsedNow() < limit) {
                "$what: condition not met within $limit\n" +
                    gateways.joinToString("\n") { it.log.readLines().takeLast(5).toString() }
            }
            pause(100.milliseconds)
        }
    }

    fun pause(time: Duration) = TimeUnit.MILLISECONDS.sleep(time.inWholeMilliseconds)

    override fun close() {
        (gateways + controllers).forEach(ProgramProcess::close)
        engines.close()
        service.stop()
        platform.stop()
        directory.toFile().deleteRecursively()
    }

    private val platformUrl: String get() = "http://127.0.0.1:${platform.port}"

    private fun send(request: Request): CallerResponse = http.newCall(request).execute().use { response ->
        CallerResponse(
            response.code,
            response.body.string(),
            response.headers.associate { (name, value) ->
                name.lowercase() to
                    value
            },
        )
    }

    private fun seeds() = (0 until GATEWAYS).joinToString(",") { "127.0.0.1:${ports[it * 3 + 1]}" }

    private fun startGateway(number: Int) = ProgramProcess(
        "redwingcross.gateway.GatewayMainKt",
        "gateway-$number",
        directory,
        nodeArguments("gateway-$number", ports[number * 3 + 1], ports[number * 3 + 2]) +
            listOf("--listen", callerAddress(number)),
    )

    private fun startController(number: Int) = ProgramProcess(
        "redwingcross.controller.ControllerMainKt",
        "controller-$number",
        directory,
        nodeArguments("controller-$number", ports[GATEWAYS * 3 + number * 2], ports[GATEWAYS * 3 + number * 2 + 1]),
    )

    private fun nodeArguments(name: String, peer: Int, operator: Int) = listOf(
        "--name", name,
        "--zone", if (name.endsWith("0")) "north" else "south",
        "--peer", "127.0.0.1:$peer",
        "--operator-listen", "127.0.0.1:$operator",
        "--platform", platformUrl,
        "--seeds", seeds(),
    )

    private fun bundleText(): String = buildString {
        appendLine("name: systemtest\nregion: local\nschemes: [plant, finance]")
        appendLine("availabilityZones:\n- names: {plant: north, finance: Z-1}\n- names: {plant: south, finance: Z-2}")
        appendLine("vms:")
        vms.forEach { vm ->
            val zone = vm.value.substringBefore('-')
            appendLine("- {name: $vm, zone: $zone, fabricDomain: $zone-d, engine: \"${engines.endpoint(vm)}\",")
            appendLine("   accelerators: 8}")
        }
        appendLine("gateways:")
        repeat(GATEWAYS) {
            val zone = if (it == 0) "north" else "Z-2"
            appendLine("- {name: gateway-$it, zone: $zone, caller: \"${callerAddress(it)}\",")
            appendLine("   peer: \"127.0.0.1:${ports[it * 3 + 1]}\"}")
        }
        appendLine("models:")
        appendLine("- {name: briefing, version: \"1\", vmsPerGroup: 2, groups: {north: 1, south: 1},")
        appendLine("   coldLimit: 8, warmLimit: 32, rampStep: 5s}")
        appendLine("services:\n- name: dispatch\n  instances:")
        appendLine("  - {server: dispatch-1, zone: north, endpoint: \"127.0.0.1:${service.port}\"}")
        appendLine("  nonIdempotent: [{method: POST, path: /bookings}]")
        appendLine("customers:\n- {name: school, weight: 2}\n- {name: clinic}")
    }

    private companion object {
        const val GATEWAYS = 2
        const val CONTROLLERS = 2
        val json = "application/json".toMediaType()
    }
}
