package redwingcross.connection.caller

import org.http4k.core.Response
import org.http4k.core.Status
import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.idempotency.EarlierAttempts
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import java.util.concurrent.atomic.AtomicBoolean

/** Runs calls to plain services: once with an idempotency key, otherwise up to 3 times at different servers. */
internal class ServiceExchange(private val services: CallerServices) {
    suspend fun run(call: ServiceCall, priority: Int): Response =
        if (call.key == null) runIdempotent(call, priority) else runOnce(call, priority)

    private suspend fun runOnce(call: ServiceCall, priority: Int): Response =
        withSlot(call, priority, emptySet()) { slot ->
            services.runNonIdempotent(call) { attempt -> slot.dispatch(call, attempt) }.toResponse(call)
        }

    private suspend fun runIdempotent(call: ServiceCall, priority: Int): Response {
        val failed = mutableSetOf<BackendServer>()
        var mayHaveRun = false
        var lastFailure = ""
        repeat(MAX_ATTEMPTS) {
            when (val answer = services.slots.acquire(slotRequest(call, priority, failed))) {
                is SlotAnswer.Refused -> return if (mayHaveRun) {
                    call.outcomeUnknown(lastFailure).toResponse()
                } else {
                    call.refused(answer)
                }
                is SlotAnswer.Granted -> {
                    val outcome = useSlot(answer.slot) { it.dispatch(call, services.newAttemptId()) }
                    if (outcome is Outcome.Completed) return outcome.answer.toResponse()
                    failed += answer.slot.server
                    lastFailure = outcome.toString()
                    mayHaveRun = mayHaveRun || outcome is Outcome.Unknown
                }
            }
        }
        return if (mayHaveRun) {
            call.outcomeUnknown(lastFailure).toResponse()
        } else {
            notRun(NotRunReason.CONNECT_FAILED).copy(requestId = call.request.value).toResponse(resolveRetryAfter)
        }
    }

    private suspend fun withSlot(
        call: ServiceCall,
        priority: Int,
        excluded: Set<BackendServer>,
        block: suspend (HeldSlot) -> Response,
    ): Response = when (val answer = services.slots.acquire(slotRequest(call, priority, excluded))) {
        is SlotAnswer.Refused -> call.refused(answer)
        is SlotAnswer.Granted -> useSlot(answer.slot, block)
    }

    private suspend fun <T> useSlot(slot: Slot, block: suspend (HeldSlot) -> T): T {
        val held = HeldSlot(slot)
        try {
            return block(held)
        } finally {
            services.slots.release(slot.id, held.result)
        }
    }

    private fun slotRequest(call: ServiceCall, priority: Int, excluded: Set<BackendServer>) = SlotRequest(
        request = call.request,
        customer = call.customer,
        service = call.service,
        priority = priority,
        heldBytes = call.body.size.toLong(),
        deadline = call.deadline,
        excluded = excluded.toSet(),
    )

    /** A granted slot that can be used for one dispatch. */
    private inner class HeldSlot(private val slot: Slot) {
        private val isUsed = AtomicBoolean(false)
        var result: SlotResult = SlotResult.Unused
            private set

        suspend fun dispatch(call: ServiceCall, attempt: AttemptId): Outcome<ServiceAnswer> {
            check(isUsed.compareAndSet(false, true)) { "attempt $attempt uses a slot that was already used" }
            // Applies if the dispatch throws, in which case the request may have been sent.
            result = SlotResult.Failed("the dispatch failed unexpectedly")
            val start = services.clock.now()
            val outcome = services.dispatch(slot, call, attempt)
            result = when (outcome) {
                is Outcome.Completed -> if (outcome.answer.status == ProblemStatus.UNAVAILABLE) {
                    SlotResult.Rejected(outcome.answer.status, null)
                } else {
                    SlotResult.Served(services.clock.now() - start, null)
                }
                is Outcome.NotRun -> if (outcome.reason == NotRunReason.CONNECT_FAILED) {
                    SlotResult.Failed("connect failed")
                } else {
                    SlotResult.Unused
                }
                is Outcome.Unknown -> SlotResult.Failed(outcome.detail)
            }
            return outcome
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}

/** The refusal of a call without a slot. The record of its key was not read, so an earlier attempt may have run. */
private fun ServiceCall.refused(answer: SlotAnswer.Refused): Response {
    val earlier = if (key == null) EarlierAttempts.NONE else EarlierAttempts.UNKNOWN
    return notRun(answer.reason, earlier).copy(requestId = request.value).toResponse(answer.retryAfter)
}

private fun ServiceCall.outcomeUnknown(detail: String): Problem = Problem(
    title = "Outcome unknown",
    status = ProblemStatus.GATEWAY_TIMEOUT,
    detail = "the request may have run: $detail",
    notRun = false,
    requestId = request.value,
)

private fun ServiceAnswer.toResponse(): Response = Response(Status(status, ""))
    .header("Content-Type", contentType)
    .body(org.http4k.core.MemoryBody(java.nio.ByteBuffer.wrap(body)))

private fun NonIdempotentResult.toResponse(call: ServiceCall): Response = when (this) {
    is NonIdempotentResult.Answered -> answer.toResponse().let { response ->
        if (replayed) response.header("Idempotency-Replayed", "true") else response
    }
    is NonIdempotentResult.NotRun ->
        notRun(reason, earlierAttempts).copy(requestId = call.request.value).toResponse(resolveRetryAfter)
    // The claim was confirmed before the dispatch, so the key's record shows that no earlier attempt ran.
    is NonIdempotentResult.OutcomeUnknown -> call.outcomeUnknown(detail).copy(earlierAttempts = "none").toResponse()
    is NonIdempotentResult.EarlierAttemptUnknown -> call.conflict(
        "Outcome unknown",
        "an earlier attempt with this key was started and may have run: $detail",
    ).toResponse()
    is NonIdempotentResult.CompletedWithoutBody -> call.conflict(
        "Already completed",
        "an earlier attempt with this key completed with status $status; its answer was too large to be kept",
    ).copy(completed = true).toResponse()
    is NonIdempotentResult.Superseded -> call.conflict(
        "Superseded",
        "a later attempt with this key replaced this one, which was not run",
    ).copy(notRun = true).toResponse()
    is NonIdempotentResult.KeyReused -> call.conflict(
        "Idempotency key reused",
        "the key was used before with another request; this request was not run",
    ).copy(status = ProblemStatus.UNPROCESSABLE, notRun = true).toResponse()
}

/** A refusal because of an earlier attempt. `notRun` is false, because that attempt may have run the call. */
private fun ServiceCall.conflict(title: String, detail: String): Problem = Problem(
    title = title,
    status = ProblemStatus.CONFLICT,
    detail = detail,
    place = "header $IDEMPOTENCY_KEY_HEADER",
    notRun = false,
    earlierAttempts = "unknown",
    requestId = request.value,
)
