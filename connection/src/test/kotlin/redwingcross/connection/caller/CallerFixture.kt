package redwingcross.connection.caller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.request.Outcome
import redwingcross.request.ServiceName
import redwingcross.request.idempotency.EarlierAttempts
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.model.RunModelAttempt
import redwingcross.request.service.DispatchOnce
import redwingcross.request.service.RequestedCall
import redwingcross.request.service.ResolveRequest
import redwingcross.request.service.ResolvedCall
import redwingcross.request.service.RunNonIdempotent
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import redwingcross.request.slot.SlotSource
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/** A slot source without a limit that records each request, grant and release. */
internal class RecordingSlots(
    private val endpoint: String = "127.0.0.1:1",
    private val answer: (Slot) -> SlotAnswer = SlotAnswer::Granted,
) {
    private val ids = AtomicLong()
    val requests = ConcurrentLinkedQueue<SlotRequest>()
    val granted = ConcurrentLinkedQueue<SlotId>()
    val released = LinkedBlockingQueue<Pair<SlotId, SlotResult>>()

    val source = SlotSource(
        acquire = { request ->
            requests += request
            val id = SlotId(ids.incrementAndGet())
            answer(Slot(id, BackendServer("server-${id.value}"), endpoint)).also {
                if (it is SlotAnswer.Granted) granted += id
            }
        },
        confirm = { true },
        release = { id, result -> released += id to result },
    )

    fun awaitRelease(): Pair<SlotId, SlotResult> =
        checkNotNull(released.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no slot was released" }
}

/** Upper bound for waiting in tests, so that a fault does not hang the build; no result depends on the value. */
internal const val TEST_TIMEOUT_SECONDS = 20L

internal val resolveAnyName: ResolveRequest = { call ->
    when (call) {
        is RequestedCall.OfModel ->
            ResolvedCall.Resolved(Customer(call.customer), ServiceName(call.model), 0, false, 100.seconds)
        is RequestedCall.OfService -> ResolvedCall.Resolved(
            Customer(call.customer),
            ServiceName(call.service),
            priority = 0,
            isNonIdempotent = call.path.startsWith("/bookings"),
            timeout = 100.seconds,
        )
    }
}

/** Dispatches without an idempotency record, for tests that do not cover the record. */
internal val dispatchWithoutRecord: RunNonIdempotent = { _, dispatch ->
    when (val outcome = dispatch(AttemptId("attempt"))) {
        is Outcome.Completed -> NonIdempotentResult.Answered(outcome.answer, false)
        is Outcome.NotRun -> NonIdempotentResult.NotRun(outcome.reason, EarlierAttempts.NONE)
        is Outcome.Unknown -> NonIdempotentResult.OutcomeUnknown(outcome.detail)
    }
}

/** Dependencies that respond immediately, except for the given ones. */
internal fun callerServices(
    slots: RecordingSlots,
    runAttempt: RunModelAttempt,
    scope: CoroutineScope,
    clock: MonotonicClock = MonotonicClock.system,
    dispatch: DispatchOnce = { _, _, _ -> Outcome.Completed(ServiceAnswer(200, "text/plain", "done".toByteArray())) },
    runNonIdempotent: RunNonIdempotent = dispatchWithoutRecord,
) = CallerServices(
    slots = slots.source,
    resolve = resolveAnyName,
    runNonIdempotent = runNonIdempotent,
    listAddresses = { CallerAddresses(emptyList()) },
    runAttempt = runAttempt,
    cancelAttempt = { _, _ -> },
    dispatch = dispatch,
    scope = scope,
    clock = clock,
)

internal class CallerFixture(
    val slots: RecordingSlots = RecordingSlots(),
    runAttempt: RunModelAttempt = { _, _, _ -> },
    settings: CallerServerSettings = CallerServerSettings(host = "127.0.0.1", port = 0),
    services: (CoroutineScope) -> CallerServices = { callerServices(slots, runAttempt, it) },
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val handler = callerHandler(services(scope))
    val server = CallerServer(settings).toServer(handler).start()

    fun connect(): Socket = Socket("127.0.0.1", server.port()).apply { soTimeout = TEST_TIMEOUT_SECONDS.toInt() * 1000 }

    override fun close() {
        server.stop()
        scope.cancel()
    }
}

internal fun Socket.sendCompletion(isStream: Boolean) = sendRequest(
    "POST /v1/chat/completions",
    """{"model":"m","stream":$isStream,"messages":[{"role":"user","content":"x"}]}""",
)

internal fun Socket.sendRequest(requestLine: String, body: String, headers: List<String> = listOf("X-Customer: c")) {
    val head = listOf("$requestLine HTTP/1.1", "Host: gateway", "Content-Length: ${body.length}") + headers
    getOutputStream().write((head.joinToString("\r\n", postfix = "\r\n\r\n") + body).toByteArray())
}
