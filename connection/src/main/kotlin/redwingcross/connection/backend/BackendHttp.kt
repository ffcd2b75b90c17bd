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
    /** Back ends are at most 1 ms away, so a second covers one lost SYN packet with its retransmission after 1 s. */
    val connectTimeout: Duration = 2.seconds,
    /** Backstop of the silence timer of a model request, which is 10 s and ends the call first. */
    val readTimeout: Duration = 15.seconds,
    val cancelTimeout: Duration = 2.seconds,
    /** Longest line of a model engine's answer, in bytes. */
    val maxLineBytes: Long = 65_536,
    /** Largest answer of a plain service, in bytes; it is held in memory as a whole. */
    val maxAnswerBytes: Long = 1_048_576,
)

/**
 * HTTP towards back ends. Each call has a connection of its own: a kept connection may have gone silent, and at a few
 * calls a second the extra round trip of at most 1 ms costs less than finding that out after 10 s.
 *
 * @param blocking runs the blocking reads; its parallelism bounds the running calls
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
        .build()

    /** A call that ends after [timeout]; null means that the caller of this function ends it. */
    internal fun newCall(request: Request, timeout: Duration? = null): Call = if (timeout == null) {
        client.newCall(request)
    } else {
        client.newBuilder()
            .readTimeout(timeout.toJavaDuration())
            .callTimeout(timeout.toJavaDuration())
            .build()
            .newCall(request)
    }

    /** Runs [block] on a blocking thread and closes the connection of [call] if the coroutine is cancelled. */
    internal suspend fun <T> run(call: Call, block: suspend (Call) -> T): T = withContext(blocking) {
        // Unconfined, so that the connection is closed even while all blocking threads wait for back ends.
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

/** A body that OkHttp must not send a second time. */
internal class OneShotBody(private val bytes: ByteArray) : RequestBody() {
    override fun contentType() = null

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}
