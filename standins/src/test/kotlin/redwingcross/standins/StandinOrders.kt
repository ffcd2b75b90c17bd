package redwingcross.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Orders faults of the stand-in at [port]. */
fun orderFaults(port: Int, faults: String) {
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/standin/faults"))
        .PUT(HttpRequest.BodyPublishers.ofString(faults)).build()
    check(http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 204)
}

/** Body of the answer to a GET at the stand-in. */
fun fetch(port: Int, path: String): String =
    http.send(HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build(), HttpResponse.BodyHandlers.ofString())
        .body()

/** Body of the answer to a POST with an idempotency key. */
fun post(port: Int, path: String, key: String, body: String): String = http.send(
    HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
        .header("Idempotency-Key", key)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build(),
    HttpResponse.BodyHandlers.ofString(),
).body()
