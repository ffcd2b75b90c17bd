package redwingcross.connection.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders

/** Method, target and headers of a request. Header names and values are as received, or as they will be sent. */
class RequestHead(val method: String, val target: String, val headers: HttpHeaders)

/**
 * Status and headers of a response. [isFirstOnConnection] is true if no earlier request used the connection, so that
 * the response can't belong to another one.
 */
class ResponseHead(val status: Int, val headers: HttpHeaders, val isFirstOnConnection: Boolean = true) {
    /** Media type of the body in lower case and without parameters; null if the response states none. */
    val mediaType: String? get() = headers.get("Content-Type")?.substringBefore(';')?.trim()?.lowercase()

    /** Whether only the end of the connection ends the body, so that a body that was cut off appears to be complete. */
    val isDelimitedByClose: Boolean
        get() = status !in statusesWithoutBody && "Content-Length" !in headers && !isChunked

    private val isChunked: Boolean
        get() = headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}

/** Hop-by-hop headers, and headers that depend on the framing of one connection; they are never forwarded. */
private val connectionHeaders = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/**
 * Copies the end-to-end headers to [target]. Leaves out hop-by-hop headers, those listed in `Connection`, and those in
 * [except], which contains lower-case names.
 */
fun HttpHeaders.copyEndToEndTo(target: HttpHeaders, except: Set<String> = emptySet()) {
    val named = getAll("connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
    for ((name, value) in iteratorAsString()) {
        val lower = name.lowercase()
        if (lower !in connectionHeaders && lower !in named && lower !in except) target.add(name, value)
    }
}
