package redwingcross.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Replaces the faults of the stand-in at [port] with the JSON object [faults]. */
fun putFaults(port: Int, faults: String) {
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/standin/faults"))
        .PUT(HttpRequest.BodyPublishers.ofString(faults)).build()
    check(http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 204)
}

/** Response body of a GET request to the stand-in at [port]. */
fun fetch(port: Int, path: String): String =
    http.send(HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build(), HttpResponse.BodyHandlers.ofString())
        .body()

/** Response body of a POST request with the idempotency key [key]. */
fun post(port: Int, path: String, key: String, body: String): String = http.send(
    HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
        .header("Idempotency-Key", key)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build(),
    HttpResponse.BodyHandlers.ofString(),
).body()
