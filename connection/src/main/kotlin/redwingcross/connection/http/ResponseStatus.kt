package redwingcross.connection.http

import okhttp3.Interceptor
import java.net.ProtocolException

/** The status codes of HTTP. A response with another one doesn't come from a server that works. */
private val STATUSES = 100..599
private val THREE_DIGITS = Regex("[0-9]{3}")

/** Whether [text] of a status line is the code of a status: three digits from 100 to 599. */
internal fun isStatus(text: String): Boolean = THREE_DIGITS.matches(text) && text.toInt() in STATUSES

/** Fails calls of OkHttp whose response has a status out of range, which OkHttp passes on. */
internal val validStatusInterceptor = Interceptor { chain ->
    val response = chain.proceed(chain.request())
    if (response.code !in STATUSES) {
        response.close()
        throw ProtocolException("status ${response.code} in the response of ${chain.request().url}")
    }
    response
}
