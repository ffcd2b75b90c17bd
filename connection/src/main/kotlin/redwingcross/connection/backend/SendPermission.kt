package redwingcross.connection.backend

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import redwingcross.request.NotRunReason
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean

/** Thrown before the first byte of a request is written; the connection is then discarded. */
internal class SendRefusedException(val reason: NotRunReason) : IOException("request not sent: $reason")

/**
 * Allows a call to write its request at most once and records whether writing has started. In several cases, for
 * example a 503 with `Retry-After: 0`, OkHttp sends a request again and has no setting to disable that. Therefore each
 * write has to acquire this permission.
 *
 * @param refusal checked before the request is written; returns the reason why it must not be sent, or null
 */
internal class SendPermission(private val refusal: () -> NotRunReason?) : EventListener() {
    private val isTaken = AtomicBoolean(false)

    @Volatile private var headersStarted = false

    /** True if a byte of the request may have been written. Only valid after the call has ended. */
    val mayHaveSent: Boolean get() = headersStarted

    override fun requestHeadersStart(call: Call) {
        headersStarted = true
    }

    /** Acquires the permission; throws [IOException] if it was acquired before or if the request is refused. */
    fun acquire() {
        if (!isTaken.compareAndSet(false, true)) throw IOException("the HTTP client tried to send the request again")
        refusal()?.let { throw SendRefusedException(it) }
    }
}

/** Acquires the permission after the connection is established and before the first byte of the request is written. */
internal val sendOnceInterceptor = Interceptor { chain ->
    chain.request().tag(SendPermission::class.java)?.acquire()
    // Without this header, OkHttp returns a 503 response instead of sending a request without a body again.
    chain.proceed(chain.request()).withoutRetryAfter()
}

private fun Response.withoutRetryAfter(): Response = newBuilder().removeHeader("Retry-After").build()
