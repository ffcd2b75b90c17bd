package redwingcross.connection.backend

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import redwingcross.request.NotRunReason
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean

/** Thrown before the first byte is written; the connection is discarded. */
internal class SendRefusedException(val reason: NotRunReason) : IOException("request not sent: $reason")

/**
 * Lets one call write its request at most once and records whether it began to. OkHttp resends a request in several
 * cases (a 503 with `Retry-After: 0` among them) that its settings do not turn off, so this is checked for each write.
 */
internal class SendPermission(private val refusal: () -> NotRunReason?) : EventListener() {
    private val taken = AtomicBoolean(false)

    @Volatile private var headersStarted = false

    /** True if a byte of the request may have been written. Read it only after the call has ended. */
    val mayHaveSent: Boolean get() = headersStarted

    override fun requestHeadersStart(call: Call) {
        headersStarted = true
    }

    /** Takes the permission; throws if it was taken before or admission withdrew it. */
    fun take() {
        if (!taken.compareAndSet(false, true)) throw IOException("the HTTP client tried to send the request again")
        refusal()?.let { throw SendRefusedException(it) }
    }
}

/** Asks for the permission after the connection is established and before the first byte of the request. */
internal val sendOnceInterceptor = Interceptor { chain ->
    chain.request().tag(SendPermission::class.java)?.take()
    // Without this header OkHttp returns a 503 as it is, instead of sending a request without a body again.
    chain.proceed(chain.request()).withoutRetryAfter()
}

private fun Response.withoutRetryAfter(): Response = newBuilder().removeHeader("Retry-After").build()
