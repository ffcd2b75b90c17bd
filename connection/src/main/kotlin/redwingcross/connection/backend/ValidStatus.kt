package redwingcross.connection.backend

import okhttp3.Interceptor
import redwingcross.connection.http.httpStatuses
import java.net.ProtocolException

/** Fails calls of OkHttp whose response has a status out of range, which OkHttp passes on. */
internal val validStatusInterceptor = Interceptor { chain ->
    val response = chain.proceed(chain.request())
    if (response.code !in httpStatuses) {
        response.close()
        throw ProtocolException("status ${response.code} in the response of ${chain.request().url}")
    }
    response
}
