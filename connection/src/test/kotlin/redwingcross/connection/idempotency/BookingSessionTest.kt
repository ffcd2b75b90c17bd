package redwingcross.connection.idempotency

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import redwingcross.connection.assertGolden
import redwingcross.connection.platform.InMemoryPlatform
import redwingcross.request.AttemptId
import redwingcross.request.Customer
import redwingcross.request.IdempotencyKey
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.idempotency.EarlierAttempts
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against unintended changes in what gateways, platform and service exchange during a booking. A trace of
 * retries, a killed gateway, a takeover from a delayed attempt, lost answers and an outage is compared with a golden
 * file.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class BookingSessionTest {
    private class Session(val test: TestScope) {
        val trace = StringBuilder()
        val platform = InMemoryPlatform { log("platform", it) }
        val clock = MonotonicClock { test.currentTime.milliseconds }
        private val gateways = mutableMapOf<String, Pair<CoroutineScope, NonIdempotentCalls>>()
        private var incarnations = 0

        /** Shortens SHA-256 hashes to eight hex digits, so that the lines stay readable. */
        fun log(who: String, what: String) {
            val short = what.replace(Regex("([0-9a-f]{8})[0-9a-f]{56}"), "$1")
            trace.append("${test.currentTime.toString().padStart(6)} ms  $who: $short\n")
        }

        fun section(title: String) {
            trace.append("\n== $title\n")
        }

        fun start(name: String) {
            val incarnation = ++incarnations
            var attempts = 0
            val scope = test.backgroundScope + Job(test.backgroundScope.coroutineContext.job)
            val newAttemptId = { AttemptId("$name.$incarnation.${++attempts}") }
            val requestAbandon: RequestAbandon = { gateway, attempt -> requestAbandon(name, gateway, attempt) }
            gateways[name] =
                scope to
                NonIdempotentCalls(
                    scope,
                    platform.store(name),
                    ProcessName(name),
                    newAttemptId,
                    requestAbandon,
                    clock,
                )
            log(name, "started")
        }

        fun kill(name: String) {
            gateways.remove(name)?.first?.cancel()
            log(name, "killed")
        }

        suspend fun book(gateway: String, key: String, body: String = "site 7", service: Duration = 20.milliseconds) =
            gateways.getValue(gateway).second.run(call(key, body)) { attempt ->
                log("service", "runs $key for $attempt")
                delay(service)
                Outcome.Completed(ServiceAnswer(201, "text/plain", "booked by $attempt".encodeToByteArray()))
            }.also { log("caller", "$key at $gateway: ${it.describe()}") }

        private suspend fun requestAbandon(from: String, gateway: ProcessName, attempt: AttemptId): Boolean {
            delay(1.milliseconds)
            val answer = gateways[gateway.value]?.second?.abandon(attempt) ?: false
            log(from, "asks $gateway to abandon $attempt: $answer")
            return answer
        }

        private fun call(key: String, body: String) = ServiceCall(
            request = RequestId("request-$key"),
            customer = Customer("khangai"),
            service = ServiceName("dispatch"),
            method = "POST",
            path = "/bookings",
            contentType = "text/plain",
            body = body.encodeToByteArray(),
            key = IdempotencyKey(key),
            deadline = clock.now() + 30.seconds,
        )

        private fun NonIdempotentResult.describe(): String = when (this) {
            is NonIdempotentResult.Answered ->
                "answered ${answer.status} '${answer.body.decodeToString()}' replayed=$replayed"

            else -> toString()
        }
    }

    @Test
    fun `a booking runs at most once when its gateway is killed and it is retried at another gateway`() = runTest {
        val session = Session(this)
        with(session) {
            listOf("gateway-a", "gateway-b").forEach(::start)

            section("a retry elsewhere replays the stored answer, and another body is refused")
            assertIs<NonIdempotentResult.Answered>(book("gateway-a", "k1"))
            assertIs<NonIdempotentResult.Answered>(book("gateway-b", "k1"))
            assertEquals(NonIdempotentResult.KeyReused, book("gateway-b", "k1", body = "site 8"))

            section("the gateway dies while the service runs; its replacement can't tell either")
            val first = launch { book("gateway-a", "k2", service = 5.seconds) }
            delay(1.seconds)
            kill("gateway-a")
            first.cancel()
            assertIs<NonIdempotentResult.EarlierAttemptUnknown>(book("gateway-b", "k2"))
            start("gateway-a")
            assertIs<NonIdempotentResult.EarlierAttemptUnknown>(book("gateway-b", "k2"))

            section("the answers of two writes are lost and read back")
            platform.loseAnswers = 2
            assertIs<NonIdempotentResult.Answered>(book("gateway-a", "k3"))

            section("the answer of the create is late; the retry takes over and the first attempt never dispatches")
            platform.nextAnswerDelay = 3.seconds
            val late = async { book("gateway-a", "k4") }
            delay(100.milliseconds)
            assertIs<NonIdempotentResult.Answered>(book("gateway-b", "k4"))
            assertEquals(NonIdempotentResult.Superseded, late.await())

            section("the platform fails during the create, which takes effect later and is cleaned up")
            platform.delayWrites = 1
            platform.isDown = true
            val refused = NonIdempotentResult.NotRun(NotRunReason.PLATFORM_UNAVAILABLE, EarlierAttempts.UNKNOWN)
            assertEquals(refused, book("gateway-a", "k5"))
            platform.isDown = false
            platform.applyDelayed()
            delay(30.seconds)
            assertNull(platform.objects().find { it.value.toString().contains("gateway-a.3.3") })
            assertIs<NonIdempotentResult.Answered>(book("gateway-b", "k5"))
        }
        assertGolden("booking-session.txt", session.trace.toString())
    }
}
