package redwingcross.standins.service

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import redwingcross.connection.idempotency.NonIdempotentCalls
import redwingcross.connection.platform.PlatformClient
import redwingcross.connection.platform.PlatformClientSettings
import redwingcross.request.AttemptId
import redwingcross.request.Checked
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.MonotonicClock
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import redwingcross.standins.fetch
import redwingcross.standins.platform.PlatformStandin
import redwingcross.standins.post
import redwingcross.standins.putFaults
import java.io.IOException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against duplicate runs at the service when the tasks, the HTTP client and the stand-ins run together, which
 * the unit tests of the decisions don't cover.
 */
class BookingRunsTest {
    private val platform = PlatformStandin().start()
    private val service = ServiceStandin().start()
    private val gateways = mutableMapOf<ProcessName, NonIdempotentCalls>()

    private fun CoroutineScope.gateway(name: ProcessName): NonIdempotentCalls {
        val settings =
            PlatformClientSettings(listOf("http://127.0.0.1:${platform.port}"), callTimeout = 300.milliseconds)
        val client = assertIs<Checked.Valid<PlatformClient>>(PlatformClient.start(settings, this)).value
        var attempts = 0
        return NonIdempotentCalls(
            scope = this,
            platform = client.store,
            self = name,
            newAttempt = { AttemptId("$name.${++attempts}") },
            requestAbandon = { gateway, attempt -> gateways.getValue(gateway).abandon(attempt) },
        ).also { gateways[name] = it }
    }

    private suspend fun dispatch(key: String): Outcome<ServiceAnswer> = withContext(Dispatchers.IO) {
        try {
            val answer = post(service.port, "/bookings", key, "site 7").encodeToByteArray()
            Outcome.Completed(ServiceAnswer(200, "application/json", answer))
        } catch (e: IOException) {
            Outcome.Unknown("${e.message}")
        }
    }

    private suspend fun NonIdempotentCalls.book(key: String) = run(
        ServiceCall(
            request = RequestId("request"),
            customer = Customer("qld"),
            service = ServiceName("bookings"),
            method = "POST",
            path = "/bookings",
            contentType = null,
            body = "site 7".encodeToByteArray(),
            key = IdempotencyKey(key),
            deadline = MonotonicClock.system.now() + 20.seconds,
        ),
    ) { dispatch(key) }

    @Test
    fun `concurrent retries at three gateways run each key at most once under faults of platform and service`() =
        runBlocking {
            val scope = this + Job()
            try {
                val all = (0..2).map { scope.gateway(ProcessName("gateway-$it")) }
                val random = Random(20_261_204)
                val results = mutableMapOf<String, List<NonIdempotentResult>>()
                val faults = listOf("loseAnswerNext", "delayWriteNext", "staleReads", "cutNext", "silentNext")
                for (key in (1..30).map { "key-$it" }) {
                    putFaults(platform.port, """{"${faults.random(random)}":${random.nextInt(3)}}""")
                    putFaults(service.port, """{"loseAnswerNext":${random.nextInt(4) / 3}}""")
                    results[key] = (1..4).map { async { all.random(random).book(key) } }.awaitAll()
                }
                check(results)
            } finally {
                scope.cancel()
                platform.stop()
                service.stop()
            }
        }

    private fun check(results: Map<String, List<NonIdempotentResult>>) {
        val runs = Json.decodeFromString<ServiceRuns>(fetch(service.port, "/standin/runs")).byKey
        assertEquals(emptyMap(), runs.filterValues { it > 1 }, "keys that ran more than once")
        for ((key, answers) in results) {
            val bodies = answers.filterIsInstance<NonIdempotentResult.Answered>().map {
                it.answer.body.decodeToString()
            }
            assertTrue(bodies.toSet().size <= 1, "$key has different answers: $bodies")
            val mayHaveRun = answers.any {
                it is NonIdempotentResult.Answered || it is NonIdempotentResult.OutcomeUnknown
            }
            assertTrue(mayHaveRun || key !in runs, "$key ran, but no caller was notified: $answers")
        }
        assertTrue(results.values.count { all -> all.any { it is NonIdempotentResult.Answered } } >= 10, "$results")
    }
}
