package redwingcross.systemtests.soak

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a part of prompts that ends one engine after the other, and against sound requests that are refused
 * because they share their other parts with those. Runs real edge processes, one of which is killed after the block.
 */
class CrashingPartTest {
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build()
    private val deployment = SoakDeployment(Path.of("target", "soak", "crashing-part"), subnet = 252, nodeCount = 4)
    private val fabric = deployment.fabric
    private var attempts = 0

    private fun now() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    @Test
    fun `a part under which engines crash is blocked everywhere and sound requests with its other parts are served`() {
        deployment.use {
            deployment.start()
            deployment.awaitServing()
            deployment.onLoop { fabric.crashingPart = CRASHING }
            SoakCallers({ deployment.addresses }, seed = 1).use { callers ->
                sendCrashingRequests(CRASHING_MILLIS)
                deployment.nodes.first().process?.kill()
                Thread.sleep(RESTART_MILLIS)
                deployment.nodes.first().start()
                deployment.awaitServing()
                callers.takeCounts()
                sendCrashingRequests(CALM_MILLIS)
                val calm = callers.takeCounts()
                callers.close()
                assertBlocked()
                println("served=${calm.served} failures=${calm.failures}")
                deployment.nodes.forEach(::assertRefused)
                assertTrue(
                    calm.failed <= calm.served * MAXIMUM_FAILED_RATIO && calm.served >= MINIMUM_SERVED,
                    "${calm.served} sound requests were served, failed: ${calm.failures}",
                )
                deployment.onLoop { assertEquals(emptyList(), fabric.findings) }
                assertEquals(emptyList(), callers.findings + deployment.exceptions())
            }
        }
    }

    /** At most three requests reach engines later than 3 s after the fifth crash, or after the last if it has fewer. */
    private fun assertBlocked() = deployment.onLoop {
        val crashes = fabric.crashTimes
        println("crashes=${crashes.size} arrivals=${fabric.crashingArrivals.size} attempts=$attempts")
        assertTrue(crashes.isNotEmpty(), "no engine crashed")
        val from = crashes[minOf(crashes.size, CRASHES_UNTIL_BLOCK) - 1] + BLOCK_MILLIS
        val late = fabric.crashingArrivals.count { it > from }
        assertTrue(late <= MAXIMUM_LATE_ARRIVALS, "$late requests with the part reached engines after its block")
    }

    /** A request with the part is refused for the part, and not for lack of a group. */
    private fun assertRefused(node: EdgeNode) {
        val response = client.send(crashingRequest(node.callers), HttpResponse.BodyHandlers.ofString())
        assertEquals(REFUSED, response.statusCode(), "status at ${node.name}")
        assertEquals(listOf(BLOCKED_RETRY_DELAY), response.headers().allValues("Retry-After"), "delay at ${node.name}")
    }

    private fun sendCrashingRequests(millis: Long) {
        val end = now() + millis
        while (now() < end) {
            deployment.refreshAddresses()
            deployment.addresses.randomOrNull()?.let(::sendCrashingRequest)
            Thread.sleep(PAUSE_MILLIS)
        }
    }

    private fun sendCrashingRequest(address: String) {
        try {
            val response = client.send(crashingRequest(address), HttpResponse.BodyHandlers.ofString())
            assertTrue(response.statusCode() in failures, "a request with the part got ${response.statusCode()}")
        } catch (_: IOException) {
            // A closed connection or a timeout is no success either.
        }
    }

    private fun crashingRequest(address: String): HttpRequest {
        val attempt = "%016x".format(++attempts)
        return HttpRequest.newBuilder(URI("http://$address/chat-small/$attempt"))
            .timeout(Duration.ofSeconds(2))
            .header("Host", SoakCallers.HOST)
            .header("Attempt-Id", attempt)
            .header("Deadline-Ms", "2000")
            .header("Authorization", "Token ${SoakCallers.KEY}")
            .header("Model", "small")
            .header("Token-Counts", "100,5")
            .header("Prompt-Prefix", "${SoakCallers.SHARED_PART}:50,$CRASHING:50,$attempt:50")
            .POST(HttpRequest.BodyPublishers.ofString("x"))
            .build()
    }

    private companion object {
        const val CRASHING = "dead"
        const val CRASHING_MILLIS = 10_000L

        /** Time without the killed process, less than the others need to notice that it is gone. */
        const val RESTART_MILLIS = 500L
        const val CALM_MILLIS = 4_000L
        const val PAUSE_MILLIS = 100L
        const val CRASHES_UNTIL_BLOCK = 5
        const val BLOCK_MILLIS = 3_000L
        const val MAXIMUM_LATE_ARRIVALS = 3

        /** As in the phase without faults of [SoakRun]. */
        const val MAXIMUM_FAILED_RATIO = 0.05
        const val MINIMUM_SERVED = 60
        const val REFUSED = 503

        /** Longer than the delays of other refusals. */
        const val BLOCKED_RETRY_DELAY = "30.00"
        val failures = setOf(502, 503, 504)
    }
}
