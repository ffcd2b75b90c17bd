package redwingcross.bench.load

import kotlinx.serialization.json.Json
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import redwingcross.connection.engine.EngineReport
import java.io.IOException
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Sends one streamed request, calls `onToken` for each token, and returns whether the response was complete. */
internal typealias StreamCall = (onToken: () -> Unit) -> Boolean

/** A leader engine with the group and generation that its requests must carry. */
internal data class LeaderEngine(val endpoint: String, val group: String, val generation: Long)

/** HTTP client that pools one connection for each of at most [connections] concurrent streams. */
internal class LoadClient(connections: Int) : AutoCloseable {
    private val pool = ConnectionPool(connections, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
    private val http = OkHttpClient.Builder()
        .connectionPool(pool)
        // A retry would hide a failure and include the time of both requests in the measurement.
        .retryOnConnectionFailure(false)
        .callTimeout(CALL_SECONDS, TimeUnit.SECONDS)
        .readTimeout(CALL_SECONDS, TimeUnit.SECONDS)
        .build()
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the first engine of [endpoints] that is a ready leader, or null. */
    fun leader(endpoints: List<String>): LeaderEngine? = endpoints.firstNotNullOfOrNull { endpoint ->
        val report = json.decodeFromString(EngineReport.serializer(), read("http://$endpoint/control/report"))
        val group = report.group?.value
        val generation = report.generation
        if (group == null || generation == null) return@firstNotNullOfOrNull null
        LeaderEngine(endpoint, group, generation).takeIf { report.ready && report.rank == 0 }
    }

    /** Processor time used so far by the process whose operator endpoint is [operator]. */
    fun processorTime(operator: String): Duration = read("http://$operator/metrics")
        .lineSequence()
        .first { it.startsWith("process_cpu_time_ns_total") }
        .substringAfterLast(' ')
        .toDouble()
        .nanoseconds

    fun directCalls(leader: LeaderEngine, model: String, tokens: Int): StreamCall = { onToken ->
        val id = UUID.randomUUID().toString()
        val request = chat(leader.endpoint, model, tokens)
            .header("X-Request-Id", id)
            .header("X-Attempt-Id", id)
            .header("X-Group", leader.group)
            .header("X-Group-Generation", leader.generation.toString())
        stream(request.build(), onToken)
    }

    fun gatewayCalls(gateway: String, model: String, customer: String, tokens: Int): StreamCall = { onToken ->
        stream(chat(gateway, model, tokens).header("X-Customer", customer).build(), onToken)
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        pool.evictAll()
    }

    private fun chat(endpoint: String, model: String, tokens: Int) =
        Request.Builder().url("http://$endpoint/v1/chat/completions").post(
            """{"model":"$model","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"Load"}]}"""
                .toRequestBody(JSON_TYPE),
        )

    private fun stream(request: Request, onToken: () -> Unit): Boolean = try {
        http.newCall(request).execute().use { it.isSuccessful && countTokens(it.body.source(), onToken) }
    } catch (_: IOException) {
        false
    }

    private fun countTokens(source: BufferedSource, onToken: () -> Unit): Boolean {
        var isDone = false
        while (true) {
            val line = source.readUtf8Line() ?: return isDone
            when {
                line == "data: [DONE]" -> isDone = true
                line.startsWith("data: ") -> onToken()
            }
        }
    }

    private fun read(url: String): String = http.newCall(Request.Builder().url(url).build()).execute().use { response ->
        if (!response.isSuccessful) throw IOException("GET $url failed with status ${response.code}")
        response.body.string()
    }

    private companion object {
        const val KEEP_ALIVE_SECONDS = 60L
        const val CALL_SECONDS = 60L
        val JSON_TYPE = "application/json".toMediaType()
    }
}
