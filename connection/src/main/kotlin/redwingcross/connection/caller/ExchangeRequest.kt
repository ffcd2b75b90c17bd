package redwingcross.connection.caller

import io.undertow.server.HttpServerExchange
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Uri
import java.nio.ByteBuffer

/** Converts the exchange to an http4k request. Unknown methods become `TRACE`, which no route accepts. */
internal fun HttpServerExchange.toRequest(body: ByteArray): Request {
    val method = Method.entries.firstOrNull { it.name == requestMethod.toString() } ?: Method.TRACE
    val query = if (queryString.isEmpty()) "" else "?$queryString"
    val headers = requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }
    return Request(method, Uri.of(requestURI.substringAfterAuthority() + query))
        .headers(headers)
        .body(MemoryBody(ByteBuffer.wrap(body)))
        .source(RequestSource(sourceAddress.address.hostAddress, sourceAddress.port, requestScheme))
}

/** The path of a request target, which can be an absolute URI. */
private fun String.substringAfterAuthority(): String = if (startsWith("/")) {
    this
} else {
    "/" + substringAfter("://").substringAfter("/", "")
}
