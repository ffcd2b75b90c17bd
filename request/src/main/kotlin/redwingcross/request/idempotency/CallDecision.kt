package redwingcross.request.idempotency

import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.Transition
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.with
import kotlin.time.Duration

private typealias CallStep = Transition<NonIdempotentCall, CallEffect>

/**
 * Returns the state after [event] and the effects to carry out.
 *
 * Apart from [CallEvent.AbandonRequested], each event is the result of the effect that the previous step returned.
 * Events that are not expected in the current phase are ignored.
 */
fun NonIdempotentCall.next(event: CallEvent, now: Duration): Transition<NonIdempotentCall, CallEffect> = when {
    event == CallEvent.AbandonRequested -> abandon()

    else -> when (phase) {
        CallPhase.New -> start(now)
        is CallPhase.Claiming -> claiming(phase, event, now)
        is CallPhase.Inspecting -> inspecting(phase, event, now)
        is CallPhase.RequestingAbandon -> abandonAnswered(phase, event, now)
        is CallPhase.Dispatching -> dispatched(phase, event, now)
        is CallPhase.Storing -> storing(phase, event, now)
        is CallPhase.Removing -> removing(phase, event)
        CallPhase.Abandoned -> finish(NonIdempotentResult.Superseded)
        is CallPhase.Finished -> with()
    }
}

/** Changes the phase before the reply is sent, so that no later event can dispatch an attempt reported as abandoned. */
private fun NonIdempotentCall.abandon(): CallStep = when {
    mayHaveRun -> with(CallEffect.ReplyAbandon(false))
    phase is CallPhase.Finished || phase is CallPhase.Removing -> with(CallEffect.ReplyAbandon(true))
    else -> copy(phase = CallPhase.Abandoned, mayHaveClaim = true).with(CallEffect.ReplyAbandon(true))
}

private fun NonIdempotentCall.start(now: Duration): CallStep =
    copy(claimDeadline = minOf(now + limits.claimWait, context.deadline)).claim(null, now)

/** Writes the record of this attempt over version [expected], or requires that there is no record if it is null. */
private fun NonIdempotentCall.claim(expected: RecordVersion?, now: Duration): CallStep {
    if (now >= claimDeadline || writes >= limits.maxClaims) return refuse(now)
    val numbered = copy(writes = writes + 1)
    val write = ConfirmedWrite(numbered.nonce(), expected, claimDeadline)
    return numbered.copy(phase = CallPhase.Claiming(write, now)).with(
        CallEffect.Write(numbered.record(RecordState.STARTED), expected),
    )
}

private fun NonIdempotentCall.claiming(claiming: CallPhase.Claiming, event: CallEvent, now: Duration): CallStep {
    val step = claiming.write.next(event.toConfirmedWrite() ?: return with(), now)
    val write = step.state
    val called = copy(phase = CallPhase.Claiming(write, now))
    return when (val effect = step.effects.single()) {
        ConfirmedWriteEffect.Write -> called.with(CallEffect.Write(record(RecordState.STARTED), write.expected))

        ConfirmedWriteEffect.Read -> called.with(CallEffect.Read)

        is ConfirmedWriteEffect.Wait -> called.with(CallEffect.Wait(effect.duration))

        is ConfirmedWriteEffect.Finish -> copy(mayHaveClaim = mayHaveClaim || write.mayHaveEffect).let {
            when (val result = effect.result) {
                is ConfirmedWriteResult.Confirmed -> it.dispatch(result.version, claiming.calledAt, now)
                is ConfirmedWriteResult.Conflict -> it.inspect(0, now)
                is ConfirmedWriteResult.NoEffect, is ConfirmedWriteResult.Unknown -> it.refuse(now)
            }
        }
    }
}

/**
 * Dispatches the request unless its deadline has passed or the claim has expired. The age of the claim counts from
 * [confirmedAt], when the call that confirmed it was made, so it includes a pause before the result was handled.
 */
private fun NonIdempotentCall.dispatch(claimed: RecordVersion, confirmedAt: Duration, now: Duration): CallStep =
    if (now < context.deadline && now - confirmedAt <= limits.claimLifetime) {
        copy(phase = CallPhase.Dispatching(claimed), mayHaveRun = true).with(CallEffect.Dispatch)
    } else {
        remove(claimed, NonIdempotentResult.NotRun(NotRunReason.DEADLINE_EXCEEDED, EarlierAttempts.NONE))
    }

private fun NonIdempotentCall.inspect(failures: Int, now: Duration): CallStep = if (now >= claimDeadline) {
    refuse(now)
} else {
    copy(phase = CallPhase.Inspecting(failures, now)).with(CallEffect.Read)
}

private fun NonIdempotentCall.inspecting(phase: CallPhase.Inspecting, event: CallEvent, now: Duration): CallStep =
    when (event) {
        is CallEvent.Read -> inspected(event.found, phase, now)
        is CallEvent.ReadFailed -> retryInspection(phase, now)
        CallEvent.WaitElapsed -> inspect(phase.failures, now)
        else -> with()
    }

private fun NonIdempotentCall.retryInspection(phase: CallPhase.Inspecting, now: Duration): CallStep {
    val wait = limits.claimWait / INSPECTION_RETRIES
    return when {
        now + wait >= claimDeadline -> refuse(now)
        else -> copy(phase = phase.copy(failures = phase.failures + 1)).with(CallEffect.Wait(wait))
    }
}

private fun NonIdempotentCall.inspected(found: StoredRecord?, phase: CallPhase.Inspecting, now: Duration): CallStep =
    when {
        found == null -> claim(null, now)

        found.record.attempt == context.attempt -> dispatch(found.version, phase.calledAt, now)

        found.record.digest != context.digest -> finish(NonIdempotentResult.KeyReused)

        found.record.state == RecordState.COMPLETED -> finish(found.record.replay())

        else -> copy(phase = CallPhase.RequestingAbandon(found)).with(
            CallEffect.RequestAbandon(found.record.gateway, found.record.attempt),
        )
    }

private fun NonIdempotentCall.abandonAnswered(
    phase: CallPhase.RequestingAbandon,
    event: CallEvent,
    now: Duration,
): CallStep = when (event) {
    is CallEvent.AbandonAnswered ->
        if (event.abandoned) {
            claim(phase.found.version, now)
        } else {
            val owner = phase.found.record
            val detail = "attempt ${owner.attempt} at ${owner.gateway} may have run"
            finish(NonIdempotentResult.EarlierAttemptUnknown(detail))
        }

    else -> with()
}

private fun NonIdempotentCall.dispatched(phase: CallPhase.Dispatching, event: CallEvent, now: Duration): CallStep =
    when (val outcome = (event as? CallEvent.DispatchEnded)?.outcome) {
        null -> with()

        is Outcome.NotRun ->
            copy(mayHaveRun = false)
                .remove(phase.claimed, NonIdempotentResult.NotRun(outcome.reason, EarlierAttempts.NONE))

        is Outcome.Unknown -> store(phase.claimed, NonIdempotentResult.OutcomeUnknown(outcome.detail), now) {
            record(RecordState.UNKNOWN)
        }

        is Outcome.Completed -> store(phase.claimed, NonIdempotentResult.Answered(outcome.answer, false), now) {
            record(RecordState.COMPLETED, outcome.answer.toStoredAnswer(limits.maxStoredBody))
        }
    }

private fun NonIdempotentCall.store(
    claimed: RecordVersion,
    result: NonIdempotentResult,
    now: Duration,
    outcome: NonIdempotentCall.() -> IdempotencyRecord,
): CallStep {
    val numbered = copy(writes = writes + 1)
    val record = numbered.outcome()
    val write = ConfirmedWrite(record.nonce, claimed, now + limits.storeWait)
    return numbered.copy(phase = CallPhase.Storing(write, record, claimed, result)).with(
        CallEffect.Write(record, claimed),
    )
}

private fun NonIdempotentCall.storing(phase: CallPhase.Storing, event: CallEvent, now: Duration): CallStep {
    val step = phase.write.next(event.toConfirmedWrite() ?: return with(), now)
    val called = copy(phase = phase.copy(write = step.state))
    return when (val effect = step.effects.single()) {
        ConfirmedWriteEffect.Write -> called.with(CallEffect.Write(phase.record, phase.claimed))

        ConfirmedWriteEffect.Read -> called.with(CallEffect.Read)

        is ConfirmedWriteEffect.Wait -> called.with(CallEffect.Wait(effect.duration))

        is ConfirmedWriteEffect.Finish -> when (effect.result) {
            is ConfirmedWriteResult.Confirmed, is ConfirmedWriteResult.Conflict -> finish(phase.result)

            // The result is known even if the state of the store is not: return it now and update the record later.
            is ConfirmedWriteResult.NoEffect, is ConfirmedWriteResult.Unknown ->
                finish(phase.result, DeferredUpdate.Store(phase.record, phase.claimed))
        }
    }
}

private fun NonIdempotentCall.remove(claimed: RecordVersion, result: NonIdempotentResult): CallStep =
    copy(phase = CallPhase.Removing(result)).with(CallEffect.Delete(claimed))

private fun NonIdempotentCall.removing(phase: CallPhase.Removing, event: CallEvent): CallStep = when (event) {
    is CallEvent.Written, CallEvent.Conflict -> finish(phase.result)
    is CallEvent.NotSent, is CallEvent.Lost -> finish(phase.result, DeferredUpdate.Remove(context.attempt))
    else -> with()
}

/** The key was not claimed: this attempt was not sent, but it is not known whether earlier attempts ran. */
private fun NonIdempotentCall.refuse(now: Duration): CallStep {
    val reason = if (now >= context.deadline) NotRunReason.DEADLINE_EXCEEDED else NotRunReason.PLATFORM_UNAVAILABLE
    return finish(NonIdempotentResult.NotRun(reason, EarlierAttempts.UNKNOWN))
}

private fun NonIdempotentCall.finish(
    result: NonIdempotentResult,
    update: DeferredUpdate? = DeferredUpdate.Remove(context.attempt).takeIf { mayHaveClaim && !mayHaveRun },
): CallStep = Transition(
    copy(phase = CallPhase.Finished(result)),
    listOfNotNull(update?.let { CallEffect.DeferUpdate(it) }, CallEffect.Finish(result)),
)

private fun CallEvent.toConfirmedWrite(): ConfirmedWriteEvent? = when (this) {
    is CallEvent.Written -> ConfirmedWriteEvent.Written(version)
    CallEvent.Conflict -> ConfirmedWriteEvent.Conflict
    is CallEvent.NotSent -> ConfirmedWriteEvent.NotSent(detail)
    is CallEvent.Lost -> ConfirmedWriteEvent.Lost(detail)
    is CallEvent.Read -> ConfirmedWriteEvent.Read(found?.let { FoundVersion(it.version, it.record.nonce) })
    is CallEvent.ReadFailed -> ConfirmedWriteEvent.ReadFailed(detail)
    CallEvent.WaitElapsed -> ConfirmedWriteEvent.WaitElapsed
    else -> null
}

private fun IdempotencyRecord.replay(): NonIdempotentResult {
    val stored = answer ?: return NonIdempotentResult.EarlierAttemptUnknown("record of $attempt has no answer")
    val body = stored.body ?: return NonIdempotentResult.CompletedWithoutBody(stored.status)
    return NonIdempotentResult.Answered(
        ServiceAnswer(stored.status, stored.contentType, body),
        replayed = true,
    )
}

/** Failed reads of another attempt's record are retried at this fraction of [IdempotencyLimits.claimWait]. */
private const val INSPECTION_RETRIES = 20
