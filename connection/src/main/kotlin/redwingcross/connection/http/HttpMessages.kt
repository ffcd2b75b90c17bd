package redwingcross.connection.http

import io.netty.handler.codec.http.HttpHeaders

/** The head of a request, with header names and values as they came or as they go out. */
class RequestHead(val method: String, val target: String, val headers: HttpHeaders)

/** The head of an answer. */
class AnswerHead(val status: Int, val headers: HttpHeaders)

/** Headers that concern one connection only and are never passed on. */
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

/** Copies the headers that are passed on; those that `Connection` names are left out. */
fun HttpHeaders.copyEndToEndTo(target: HttpHeaders, except: Set<String> = emptySet()) {
    val named = getAll("connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
    for ((name, value) in iteratorAsString()) {
        val lower = name.lowercase()
        if (lower !in connectionHeaders && lower !in named && lower !in except) target.add(name, value)
    }
}
