package redwingcross.connection.caller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Uri
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.idempotency.EarlierAttempts
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.model.AnswerToken
import redwingcross.request.model.AttemptFault
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.model.TokenOffset
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val COMPLETION = """{"model":"m","messages":[{"role":"user","content":"x"}]}"""

/**
 * Guards against invalid input that reaches a back end, refusals that misreport whether a request was run, slots that
 * are not released exactly once, and non-idempotent calls that are sent more than once or not recognised.
 */
class CallerHandlerTest {
    private val slots = RecordingSlots()

    @Test
    fun `invalid input is refused with the place of the fault and is not sent to a back end`() {
        val deep = "[".repeat(70) + "]".repeat(70)
        val cases = listOf(
            post("/v1/chat/completions", "{") to "body",
            post("/v1/chat/completions", """{"model":"m","messages":$deep}""") to "body",
            post("/v1/chat/completions", """{"stream":"yes"}""") to "body.model, body.stream, body.messages",
            post("/v1/chat/completions", """{"model":"m","messages":[{}]}""") to "body.messages[0].role",
            post("/v1/chat/completions", COMPLETION).removeHeader("X-Customer") to "header X-Customer",
            post("/services/s/jobs").header("X-Priority", "10") to "header X-Priority",
            post("/services/s/jobs").header("X-Timeout-Millis", "0") to "header X-Timeout-Millis",
            post("/services/s/jobs").header("X-Request-Id", "a b") to "header X-Request-Id",
            post("/services/s/bookings") to "header Idempotency-Key",
            postWithKey("/services/s/bookings").header("Idempotency-Key", "second") to "header Idempotency-Key",
            post("/services/s/jobs").method(Method.GET).body("x") to "body",
            post("/services/s/jobs").header("Content-Type", "ü") to "header Content-Type",
            post("/services/s/jobs").method(Method.TRACE) to "method",
            post("/nothing") to "path",
        )
        val handler = handler()
        cases.forEach { (request, place) ->
            val problem = problem(handler(request))
            assertEquals(place, problem.place, request.toMessage())
            assertTrue(problem.notRun && problem.status in 400..405, "$problem")
        }
        assertTrue(slots.requests.isEmpty())
    }

    @Test
    fun `paths that a service might normalise to another path are refused`() {
        listOf(
            "jobs/../bookings", "jobs/%2e%2E/bookings", "/bookings", "jobs%2f..%2fbookings", "jobs\\bookings",
            "jobs//bookings", "jobs;x/bookings", "jobs/%00", "jobs/%zz", "jobs/%ff",
        ).forEach { path ->
            assertEquals("path", problem(handler()(post("/services/s/$path"))).place, path)
        }
        // Percent encoding must not hide a non-idempotent call.
        assertEquals("header Idempotency-Key", problem(handler()(post("/services/s/book%69ngs"))).place)
        assertTrue(slots.requests.isEmpty())
    }

    @Test
    fun `a call without a key is sent at most three times, each time to a different server`() {
        var sent = 0
        val response = handler(dispatch = {
            sent += 1
            Outcome.Unknown("connection closed")
        })(post("/services/s/jobs"))
        assertEquals(504, response.status.code)
        assertEquals(false, problem(response).notRun)
        assertEquals(3, sent)
        assertEquals(listOf(0, 1, 2), slots.requests.map { it.excluded.size })
        assertEquals(slots.granted.toList(), slots.released.map { it.first })
    }

    @Test
    fun `a call with a key is sent only once whatever its outcome is`() {
        val outcomes = mapOf(
            Outcome.Completed(ServiceAnswer(200, null, ByteArray(0))) to (200 to false),
            Outcome.NotRun(NotRunReason.CONNECT_FAILED) to (503 to true),
            Outcome.Unknown("connection closed") to (504 to false),
        )
        outcomes.forEach { (outcome, expected) ->
            var sent = 0
            val response = handler(dispatch = {
                sent += 1
                outcome
            })(postWithKey("/services/s/jobs"))
            assertEquals(expected.first, response.status.code)
            if (expected.first != 200) assertEquals(expected.second, problem(response).notRun)
            assertEquals(1, sent)
        }
        assertEquals(slots.granted.toList(), slots.released.map { it.first })
    }

    @Test
    fun `a dispatch that throws releases its slot and is not reported as not run`() {
        val failure = runCatching { handler(dispatch = { error("fault") })(postWithKey("/services/s/bookings")) }
        assertIs<IllegalStateException>(failure.exceptionOrNull())
        assertEquals(false, problem(ServerRefusal.HANDLER_FAILED.toResponse()).notRun)
        assertIs<SlotResult.Failed>(slots.released.single().second)
    }

    @Test
    fun `each result of a non-idempotent call has its own status and flags`() {
        val cases = listOf(
            NonIdempotentResult.NotRun(
                NotRunReason.PLATFORM_UNAVAILABLE,
                EarlierAttempts.UNKNOWN,
            ) to "503 true unknown",
            NonIdempotentResult.EarlierAttemptUnknown("started") to "409 false unknown",
            NonIdempotentResult.CompletedWithoutBody(200) to "409 false unknown",
            NonIdempotentResult.KeyReused to "422 true unknown",
            NonIdempotentResult.OutcomeUnknown("late") to "504 false none",
        )
        cases.forEach { (result, expected) ->
            val problem = problem(handler(result)(postWithKey("/services/s/bookings")))
            assertEquals(expected, "${problem.status} ${problem.notRun} ${problem.earlierAttempts}")
            assertEquals(result is NonIdempotentResult.CompletedWithoutBody, problem.completed)
            assertEquals(SlotResult.Unused, slots.released.last().second)
        }
        val replayed = NonIdempotentResult.Answered(ServiceAnswer(201, null, ByteArray(0)), replayed = true)
        assertEquals("true", handler(replayed)(postWithKey("/services/s/bookings")).header("Idempotency-Replayed"))
    }

    @Test
    fun `a request without a slot is refused as not run with a time to retry after`() {
        val fullQueue = RecordingSlots { SlotAnswer.Refused(NotRunReason.QUEUE_FULL, 1.5.seconds) }
        listOf(post("/v1/chat/completions", COMPLETION), postWithKey("/services/s/jobs")).forEach { request ->
            val response = handler(slots = fullQueue)(request.header("X-Request-Id", "mine"))
            assertEquals(
                listOf("429", "2", "mine"),
                listOf("${response.status.code}", response.header("Retry-After"), response.header("X-Request-Id")),
            )
            assertTrue(problem(response).notRun)
        }
    }

    @Test
    fun `a response that is not streamed resumes where the failed attempt ended`() {
        val texts = listOf("Zu", "ſam", "men")
        val failing: RunModelAttempt = { attempt, _, emit ->
            emit(ModelRequestEvent.AnswerStarted(attempt.attempt, attempt.attempt, null))
            val start = attempt.resumeAt.value.toInt()
            val token = AnswerToken(TokenOffset(start.toLong()), texts[start])
            emit(ModelRequestEvent.TokenReceived(attempt.attempt, token))
            if (start == 2) {
                emit(ModelRequestEvent.EndReceived(attempt.attempt, null))
            } else {
                emit(ModelRequestEvent.AttemptFailed(attempt.attempt, AttemptFault.Broken("connection closed")))
            }
        }
        val response = handler(runAttempt = failing)(post("/v1/chat/completions", COMPLETION))
        assertTrue("\"content\":\"Zuſammen\"" in response.bodyString(), response.bodyString())
        repeat(3) { slots.awaitRelease() }
    }

    private fun handler(
        result: NonIdempotentResult? = null,
        slots: RecordingSlots = this.slots,
        runAttempt: RunModelAttempt = { _, _, _ -> error("no attempt was expected") },
        dispatch: () -> Outcome<ServiceAnswer> = { error("no dispatch was expected") },
    ): HttpHandler = callerHandler(
        callerServices(
            slots,
            runAttempt,
            CoroutineScope(SupervisorJob() + Dispatchers.Default),
            dispatch = { _, _, _ -> dispatch() },
            runNonIdempotent = if (result == null) dispatchWithoutRecord else { _, _ -> result },
        ),
    )

    private fun post(path: String, body: String = ""): Request = Request(
        Method.POST,
        Uri(scheme = "", userInfo = "", host = "", port = null, path = path, query = "", fragment = ""),
    )
        .header("X-Customer", "c").body(body)

    private fun postWithKey(path: String): Request = post(path).header("Idempotency-Key", "k")

    private fun problem(response: Response): Problem {
        assertEquals("application/problem+json", response.header("Content-Type"), response.toMessage())
        return Json.decodeFromString<Problem>(response.bodyString()).also {
            assertEquals(response.status.code, it.status)
        }
    }
}
