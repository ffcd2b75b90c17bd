package redwingcross.connection.backend

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okio.BufferedSink
import java.net.Proxy
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Limits of the connections to back ends. */
data class BackendLimits(
    /** The round trip takes at most 1 ms, so 2 s cover one lost SYN packet, which is retransmitted after 1 s. */
    val connectTimeout: Duration = 2.seconds,
    /** Upper bound for a read. The idle timeout of a model request, 10 s, normally ends the call first. */
    val readTimeout: Duration = 15.seconds,
    /** Time limit for the request that cancels an attempt at an engine. */
    val cancelTimeout: Duration = 2.seconds,
    /** Maximum length of a line in a model engine's event stream. */
    val maxLineBytes: Long = 65_536,
    /** Maximum size of a response body of a plain service, which is buffered completely in memory. */
    val maxResponseBytes: Long = 1_048_576,
)

/**
 * HTTP client for back ends. Each call opens its own connection. A pooled connection may be dead, which is only
 * detected after 10 s, whereas a new connection costs a round trip of at most 1 ms at a few calls per second.
 *
 * @param blocking dispatcher for blocking reads; its parallelism limits the concurrent calls
 */
class BackendHttp(internal val blocking: CoroutineDispatcher, val limits: BackendLimits = BackendLimits()) {
    private val client: OkHttpClient = OkHttpClient.Builder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .proxy(Proxy.NO_PROXY)
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .connectTimeout(limits.connectTimeout.toJavaDuration())
        .readTimeout(limits.readTimeout.toJavaDuration())
        .eventListenerFactory { call -> call.request().tag(SendPermission::class.java) ?: EventListener.NONE }
        .addNetworkInterceptor(sendOnceInterceptor)
        .addNetworkInterceptor(validStatusInterceptor)
        .build()

    /** Creates a call that is cancelled after [timeout]; if null, the caller of this function has to end the call. */
    internal fun newCall(request: Request, timeout: Duration? = null): Call = if (timeout == null) {
        client.newCall(request)
    } else {
        client.newBuilder()
            .readTimeout(timeout.toJavaDuration())
            .callTimeout(timeout.toJavaDuration())
            .build()
            .newCall(request)
    }

    /** Runs [block] on the [blocking] dispatcher and closes the connection of [call] if the coroutine is cancelled. */
    internal suspend fun <T> run(call: Call, block: suspend (Call) -> T): T = withContext(blocking) {
        // Unconfined, so that the connection is closed even if all threads of the dispatcher wait for back ends.
        val closing = launch(Dispatchers.Unconfined, CoroutineStart.UNDISPATCHED) {
            try {
                awaitCancellation()
            } finally {
                call.cancel()
            }
        }
        try {
            block(call)
        } finally {
            closing.cancel()
        }
    }
}

/** A request body that OkHttp must not send again. */
internal class OneShotBody(private val bytes: ByteArray) : RequestBody() {
    override fun contentType() = null

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}
