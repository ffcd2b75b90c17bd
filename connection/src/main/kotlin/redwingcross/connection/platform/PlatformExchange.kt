package redwingcross.connection.platform

import kotlinx.coroutines.suspendCancellableCoroutine
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.Buffer
import okio.BufferedSink
import redwingcross.connection.backend.validStatusInterceptor
import java.io.IOException
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Result of one HTTP exchange with the platform. */
internal sealed interface ExchangeResult {
    /** A complete response; [version] and [kindVersion] are headers, null if absent. */
    class Answer(val status: Int, val version: String?, val kindVersion: String?, val body: ByteArray) : ExchangeResult

    /** [sent] is false only if no byte of the request can have been sent. */
    data class Failed(val detail: String, val sent: Boolean) : ExchangeResult
}

/** Performs single HTTP exchanges without retries. Callers suspend; only threads of the HTTP client block. */
internal class PlatformExchange(settings: PlatformClientSettings) {
    private val pool = ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS)
    private val threads = Executors.newCachedThreadPool { task ->
        Thread(task, "platform-http").apply { isDaemon = true }
    }
    private val client = OkHttpClient.Builder()
        .dispatcher(
            Dispatcher(threads).apply {
                maxRequests = settings.maxConcurrentCalls + MAX_WATCHES
                maxRequestsPerHost = settings.maxConcurrentCalls + MAX_WATCHES
            },
        )
        .connectionPool(pool)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectTimeout(settings.connectTimeout.toJavaDuration())
        // The call timeout limits the whole exchange; a separate read timeout would only end long polls too early.
        .readTimeout(Duration.ZERO.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .eventListener(SendProgressListener)
        .addNetworkInterceptor(validStatusInterceptor)
        .build()
    private val identity = UUID.randomUUID().toString()
    private val exchanges = AtomicLong()

    suspend fun run(request: Request, timeout: Duration): ExchangeResult {
        val progress = SendProgress()
        val id = "$identity-${exchanges.incrementAndGet()}"
        val call = client.newCall(
            request.newBuilder().header(REQUEST_ID, id).tag(SendProgress::class.java, progress).build(),
        )
        call.timeout().timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { call.cancel() }
            call.enqueue(
                object : Callback {
                    override fun onFailure(call: Call, e: IOException) {
                        // Other pooled connections may be dead as well, so the next call must open a new one.
                        pool.evictAll()
                        continuation.resume(failed(call.request(), "${e.javaClass.simpleName} ${e.message}", progress))
                    }

                    override fun onResponse(call: Call, response: Response) =
                        continuation.resume(readResponse(call, response, id, progress))
                },
            )
        }
    }

    fun close() {
        client.dispatcher.cancelAll()
        threads.shutdown()
        pool.evictAll()
    }

    private fun readResponse(call: Call, response: Response, id: String, progress: SendProgress): ExchangeResult = try {
        response.use {
            val responseId = response.header(REQUEST_ID)
            val body = Buffer()
            when {
                responseId != null && responseId != id -> discard(call, "response belongs to another request", progress)
                !response.body.source().readAtMost(body) -> discard(call, "response above $MAX_BYTES bytes", progress)
                else -> ExchangeResult.Answer(
                    response.code,
                    response.header("X-Version"),
                    response.header("X-Kind-Version"),
                    body.readByteArray(),
                )
            }
        }
    } catch (e: IOException) {
        pool.evictAll()
        failed(call.request(), "${e.javaClass.simpleName} ${e.message}", progress)
    }

    /** Cancels the call before its response is closed, so that the connection is closed and not reused. */
    private fun discard(call: Call, detail: String, progress: SendProgress): ExchangeResult {
        call.cancel()
        return failed(call.request(), detail, progress)
    }

    private fun failed(request: Request, detail: String, progress: SendProgress) =
        ExchangeResult.Failed("${request.method} ${request.url}: $detail", progress.started)

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val MAX_IDLE_CONNECTIONS = 16
        const val IDLE_SECONDS = 30L
        const val MAX_WATCHES = 64

        /** Limits the memory for one response; the largest expected one lists 24 h of idempotency records. */
        const val MAX_BYTES = 64L shl 20

        fun okio.BufferedSource.readAtMost(target: Buffer): Boolean {
            while (target.size <= MAX_BYTES) if (read(target, CHUNK_BYTES) < 0) return true
            return false
        }

        const val CHUNK_BYTES = 64L shl 10
    }
}

/** Records whether the HTTP client has started to write the request. */
private class SendProgress {
    @Volatile
    var started = false
}

private object SendProgressListener : EventListener() {
    override fun requestHeadersStart(call: Call) {
        call.request().tag(SendProgress::class.java)?.started = true
    }
}

/** A body that the HTTP client must not send a second time, whatever the response is. */
internal class OneShotBody(private val bytes: ByteArray) : RequestBody() {
    override fun contentType() = JSON

    override fun contentLength() = bytes.size.toLong()

    override fun isOneShot() = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }

    private companion object {
        val JSON = "application/json".toMediaType()
    }
}
