package redwingcross.connection.engine

import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Dispatcher
import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.ResponseBody
import okio.Buffer
import java.io.IOException
import java.net.ConnectException
import java.net.NoRouteToHostException
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Timeouts of the calls to model engines. */
data class EngineTimeouts(
    /**
     * Shorter than the interval between reports, so that an engine that does not answer misses one report, not several.
     */
    val report: Duration = 800.milliseconds,
    val order: Duration = 2.seconds,
)

private const val MAX_CALLS = 256
private const val MAX_BODY_BYTES = 65_536L
private const val STATUS_ACCEPTED = 202
private const val STATUS_CONFLICT = 409
private const val STATUS_UNAVAILABLE = 503

/** HTTP client of one controller for the model engines. It owns the connections and sends each call at most once. */
class EngineClient(private val timeouts: EngineTimeouts = EngineTimeouts()) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val permits = Semaphore(MAX_CALLS)
    private val client =
        OkHttpClient
            .Builder()
            .protocols(listOf(Protocol.HTTP_1_1))
            .dispatcher(Dispatcher().apply { maxRequests = MAX_CALLS })
            .connectTimeout(timeouts.report.toJavaDuration())
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .addNetworkInterceptor(removeRetryAfter)
            .build()
    private val reportClient = client.newBuilder().callTimeout(timeouts.report.toJavaDuration()).build()
    private val orderClient = client.newBuilder().callTimeout(timeouts.order.toJavaDuration()).build()

    /** Requests a report; see [ReadReport]. */
    val readReport: ReadReport = { endpoint ->
        permits.withPermit {
            exchange(reportClient, Request.Builder().url("http://$endpoint/control/report").build(), ::decodeReport)
        }
    }

    /** Sends an order; see [SendOrder]. */
    val sendOrder: SendOrder = { endpoint, order ->
        val body = json.encodeToString(EngineOrder.serializer(), order).toRequestBody(jsonType)
        val request = Request.Builder().url("http://$endpoint/control/orders").post(body).build()
        permits.withPermit { exchange(orderClient, request, ::decodeOrderAnswer) }
    }

    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun decodeReport(response: Response): EngineResult<EngineReport> = if (response.isSuccessful) {
        EngineResult.Answered(json.decodeFromString(EngineReport.serializer(), response.body.limitedText()))
    } else {
        EngineResult.NoAnswer("unexpected status ${response.code}")
    }

    private fun decodeOrderAnswer(response: Response): EngineResult<OrderAnswer> = EngineResult.Answered(
        when (response.code) {
            STATUS_ACCEPTED -> OrderAnswer.Accepted
            STATUS_CONFLICT -> decodeFenced(response)
            else -> OrderAnswer.Refused(response.code)
        },
    )

    private fun decodeFenced(response: Response): OrderAnswer =
        OrderAnswer.Fenced(json.decodeFromString(FencingRefusal.serializer(), response.body.limitedText()).highest)

    private companion object {
        val jsonType = "application/json".toMediaType()

        // Removes "Retry-After" from 503 responses. OkHttp would repeat a request after "Retry-After: 0" even though
        // retries are disabled.
        val removeRetryAfter =
            Interceptor { chain ->
                val response = chain.proceed(chain.request())
                if (response.code == STATUS_UNAVAILABLE) {
                    response.newBuilder().removeHeader("Retry-After").build()
                } else {
                    response
                }
            }
    }
}

private fun ResponseBody.limitedText(): String {
    val text = Buffer()
    while (text.size <= MAX_BODY_BYTES && source().read(text, MAX_BODY_BYTES) >= 0) Unit
    if (text.size > MAX_BODY_BYTES) throw IOException("response exceeds $MAX_BODY_BYTES bytes")
    return text.readUtf8()
}

private suspend fun <T> exchange(
    client: OkHttpClient,
    request: Request,
    read: (Response) -> EngineResult<T>,
): EngineResult<T> = suspendCancellableCoroutine { continuation ->
    val call = client.newCall(request)
    continuation.invokeOnCancellation { call.cancel() }
    call.enqueue(
        object : Callback {
            override fun onFailure(call: Call, e: IOException) = continuation.resume(toFailure(e))

            override fun onResponse(call: Call, response: Response) = continuation.resume(readSafely(response, read))
        },
    )
}

private fun <T> readSafely(response: Response, read: (Response) -> EngineResult<T>): EngineResult<T> = try {
    response.use(read)
} catch (e: IOException) {
    EngineResult.NoAnswer("response could not be read: ${e.message}")
} catch (e: SerializationException) {
    EngineResult.NoAnswer("malformed response: ${e.message}")
}

private fun toFailure(cause: IOException): EngineResult<Nothing> = when (cause) {
    is ConnectException, is NoRouteToHostException -> EngineResult.NotSent(cause.message ?: "connect failed")
    else -> EngineResult.NoAnswer(cause.message ?: cause::class.simpleName.orEmpty())
}
