package redwingcross.systemtests

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against failures in the interaction of gateways, controllers and the operator command, which tests of single
 * modules cannot find. The programs run as processes; the responses that callers received are compared with the
 * requests that the stand-ins ran. The tests share one deployment and run in order, because the last ones stop its
 * gateways.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class DeploymentTest {
    private lateinit var deployment: Deployment

    @BeforeAll
    fun start() {
        deployment = Deployment()
        deployment.await("both gateways respond") {
            (0..1).all { runCatching { deployment.get(addresses(it)).status == 200 }.getOrDefault(false) }
        }
        deployment.rollOut()
        deployment.await("both gateways serve the model") {
            (0..1).all { deployment.chat(it, tokens = 1).status == 200 }
        }
    }

    @AfterAll
    fun stop() = deployment.close()

    @Test
    @Order(1)
    fun `every gateway returns all addresses and a complete streamed response`() {
        val listed = deployment.get(addresses(0)).body
        assertTrue((0..1).all { deployment.callerAddress(it) in listed }, listed)

        val answers = (0..1).map { deployment.chat(it, tokens = 20) }

        answers.forEach { answer ->
            assertEquals((0L..19L).toList(), offsets(answer.body))
            assertTrue(answer.body.trimEnd().endsWith("data: [DONE]"), answer.body)
        }
        assertEquals(contents(answers[0].body), contents(answers[1].body))
    }

    @Test
    @Order(2)
    fun `a booking that is retried through the other gateway runs once`() {
        val first = deployment.book(0, "booking-1")
        val second = deployment.book(1, "booking-1")
        val reused = deployment.book(1, "booking-1", site = "another roof")

        assertEquals(200, first.status, first.body)
        assertEquals(first.body, second.body)
        assertEquals("true", second.headers.getValue("idempotency-replayed"))
        assertEquals(422, reused.status)
        assertEquals(1, runsOf("booking-1"))
    }

    @Test
    @Order(3)
    fun `invalid requests are rejected with the location of the error and reach no back end`() {
        val before = deployment.serviceRuns()

        val withoutKey = deployment.book(0, key = null)
        val unknownService = deployment.post(0, "/services/nothing/x", "{}", key = null)
        val unknownCustomer = deployment.post(0, "/services/dispatch/bookings", "{}", "k", customer = "nobody")
        val malformed = deployment.post(0, "/v1/chat/completions", "{\"model\":", key = null)

        assertEquals(listOf(400, 404, 404, 400), statuses(withoutKey, unknownService, unknownCustomer, malformed))
        assertTrue("Idempotency-Key" in withoutKey.body, withoutKey.body)
        listOf(withoutKey, unknownService, unknownCustomer, malformed).forEach {
            assertTrue("\"notRun\":true" in it.body, it.body)
            assertTrue(Regex("\"place\":\"[^\"]+\"").containsMatchIn(it.body), it.body)
        }
        assertEquals(before, deployment.serviceRuns())
    }

    @Test
    @Order(4)
    fun `a booking runs at most once when the response to its record update is lost`() {
        deployment.injectFaults(deployment.platform.port, """{"loseAnswerNext": 1}""")

        val answer = deployment.book(0, "booking-2")

        assertTrue(answer.status in setOf(200, 503, 504), answer.body)
        assertTrue(runsOf("booking-2") <= 1)
        if (answer.status == 200) assertEquals(1, runsOf("booking-2"))
        if ("\"notRun\":true" in answer.body) assertEquals(0, runsOf("booking-2"))
    }

    @Test
    @Order(5)
    fun `while the platform is down, model requests are served and bookings are refused as not run`() {
        deployment.injectFaults(deployment.platform.port, """{"down": true}""")
        try {
            // Exceeds the combined lifetime of a view and a zone status.
            val models = (1..14).map {
                deployment.pause(1.seconds)
                deployment.chat(it % 2, tokens = 2)
            }
            val booking = deployment.book(0, "booking-3")

            assertEquals(List(models.size) { 200 }, models.map { it.status }, models.map { it.body }.toString())
            assertEquals(503, booking.status)
            assertTrue("\"notRun\":true" in booking.body && "\"earlierAttempts\":\"unknown\"" in booking.body)
            assertEquals(0, runsOf("booking-3"))
        } finally {
            deployment.injectFaults(deployment.platform.port, "{}")
        }
    }

    @Test
    @Order(6)
    fun `a gateway that was paused while a zone was evacuated sends no requests to the zone after it resumes`() {
        deployment.await("both zones serve") { servesFrom("north") && servesFrom("south") }
        deployment.gateways[1].pause()
        val exit = deployment.operate("zone", "take-out", "Z-1")
        val output = deployment.operatorLog()
        deployment.pause(6.seconds)
        deployment.gateways[1].resume()
        val before = deployment.engineRuns("north").size

        val answers = (1..8).map { deployment.chat(1, tokens = 1, prompt = "after $it") }

        assertEquals(4, exit, output)
        assertTrue("not confirmed by gateway-1" in output, output)
        assertEquals(before, deployment.engineRuns("north").size, "requests were sent to the evacuated zone")
        assertTrue(answers.all { it.status == 200 || "\"notRun\":true" in it.body })

        assertEquals(0, deployment.operate("zone", "return", "north"), deployment.operatorLog())
        deployment.await("the zone serves again") { servesFrom("north") }
    }

    @Test
    @Order(7)
    fun `a booking whose gateway was killed is not run again when it is retried`() {
        deployment.injectFaults(deployment.service.port, """{"lateMillis": 3000}""")
        val first = CompletableFuture.supplyAsync { runCatching { deployment.book(1, "booking-4") } }
        deployment.await("the booking reaches the service") { runsOf("booking-4") == 1 }
        deployment.gateways[1].kill()
        deployment.injectFaults(deployment.service.port, "{}")
        assertTrue(first.get(10, TimeUnit.SECONDS).isFailure)

        val retry = deployment.book(0, "booking-4")

        assertEquals(409, retry.status, retry.body)
        assertTrue("\"notRun\":false" in retry.body, retry.body)
        assertEquals(1, runsOf("booking-4"))
    }

    @Test
    @Order(8)
    fun `a gateway that is stopped with SIGTERM completes its streams`() {
        val stream = CompletableFuture.supplyAsync { deployment.chat(0, tokens = 4_000) }
        deployment.await("the stream is running") { running("north") + running("south") > 0 }
        deployment.gateways[0].terminate()
        deployment.pause(500.milliseconds)
        val listed = runCatching { deployment.get(addresses(0)).body }.getOrDefault("")

        val answer = stream.get(60, TimeUnit.SECONDS)

        assertTrue(deployment.callerAddress(0) !in listed, "stopping gateway is still listed: $listed")
        assertEquals(4_000, offsets(answer.body).size)
        assertTrue(answer.body.trimEnd().endsWith("data: [DONE]"))
        assertEquals(0, deployment.gateways[0].awaitExit(seconds = 60))
    }

    private fun addresses(gateway: Int) = "http://${deployment.callerAddress(gateway)}/addresses"

    private fun runsOf(key: String): Int =
        Regex("\"$key\":(\\d+)").find(deployment.serviceRuns())?.groupValues?.get(1)?.toInt() ?: 0

    private fun servesFrom(zone: String): Boolean {
        val before = deployment.engineRuns(zone).size
        repeat(4) { deployment.chat(it % 2, tokens = 1) }
        return deployment.engineRuns(zone).size > before
    }

    private fun running(zone: String) = deployment.engineRuns(zone).count { it.end.name == "RUNNING" }

    private fun statuses(vararg answers: CallerResponse) = answers.map { it.status }

    private fun offsets(body: String): List<Long> =
        body.lines().filter { it.startsWith("id: ") }.map { it.removePrefix("id: ").toLong() }

    private fun contents(body: String): List<String> =
        Regex("\"content\":\"([^\"]*)\"").findAll(body).map { it.groupValues[1] }.toList()
}
