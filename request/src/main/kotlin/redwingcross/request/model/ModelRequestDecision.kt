package redwingcross.request.model

import redwingcross.request.NotRunReason
import redwingcross.request.Transition
import redwingcross.request.model.ModelRequestEffect.Abandon
import redwingcross.request.model.ModelRequestEffect.Acquire
import redwingcross.request.model.ModelRequestEffect.Deliver
import redwingcross.request.model.ModelRequestEffect.Dispatch
import redwingcross.request.model.ModelRequestEffect.Finish
import redwingcross.request.model.ModelRequestEffect.Release
import redwingcross.request.model.ModelRequestEffect.SendKeepAlive
import redwingcross.request.model.ModelRequestState.Attempting
import redwingcross.request.model.ModelRequestState.Finished
import redwingcross.request.model.ModelRequestState.Waiting
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import redwingcross.request.with
import kotlin.time.Duration

private typealias Step = Transition<ModelRequestState, ModelRequestEffect>

/** Starts a model request by acquiring a slot. */
fun startModelRequest(
    request: SlotRequest,
    limits: ModelRequestLimits = ModelRequestLimits(),
): Transition<ModelRequestState, ModelRequestEffect> =
    Waiting(ModelRequestProgress(request, limits)).with(Acquire(request))

/**
 * Returns the state after [event] and the effects to carry out.
 *
 * A token is delivered only if it directly follows the last delivered one. The request is complete only when the end
 * marker of the current attempt has been received.
 */
fun ModelRequestState.next(event: ModelRequestEvent, now: Duration): Transition<ModelRequestState, ModelRequestEffect> =
    when (this) {
        is Waiting -> onWaiting(event, now)
        is Attempting -> onAttempting(event, now)
        is Finished -> onFinished(event)
    }

private fun Waiting.onWaiting(event: ModelRequestEvent, now: Duration): Step = when (event) {
    is ModelRequestEvent.SlotAnswered -> when (val answer = event.answer) {
        is SlotAnswer.Granted -> onGranted(answer, event, now)
        is SlotAnswer.Refused -> Finished.with(Finish(progress.refused(answer)))
    }
    is ModelRequestEvent.CallerLost -> Finished.with(Finish(ModelRequestResult.Abandoned(event.reason)))
    is ModelRequestEvent.Tick ->
        if (now >= progress.request.deadline) Finished.with(Finish(progress.deadlineExceeded())) else with()
    is ModelRequestEvent.FromAttempt, is ModelRequestEvent.OutputAccepted -> with()
}

private fun Waiting.onGranted(answer: SlotAnswer.Granted, event: ModelRequestEvent.SlotAnswered, now: Duration): Step =
    if (now >= progress.request.deadline) {
        Finished.with(Release(answer.slot, SlotResult.Unused), Finish(progress.deadlineExceeded()))
    } else {
        Attempting(
            progress = progress.copy(attempts = progress.attempts + 1),
            slot = answer.slot,
            attempt = event.attempt,
            dispatchedAt = now,
            lastActivityAt = now,
        ).with(Dispatch(answer.slot, event.attempt, progress.delivered))
    }

/** Releases a slot that is granted after the request has ended, for example because the caller disconnected. */
private fun Finished.onFinished(event: ModelRequestEvent): Step {
    val answer = (event as? ModelRequestEvent.SlotAnswered)?.answer
    return if (answer is SlotAnswer.Granted) with(Release(answer.slot, SlotResult.Unused)) else with()
}

private fun Attempting.onAttempting(event: ModelRequestEvent, now: Duration): Step = when (event) {
    is ModelRequestEvent.FromAttempt -> if (event.attempt == attempt) onAnswer(event, now) else with()
    is ModelRequestEvent.SlotAnswered -> Finished.onFinished(event).copy(state = this)
    is ModelRequestEvent.OutputAccepted -> copy(lastActivityAt = now).with()
    is ModelRequestEvent.CallerLost -> Finished.with(
        Abandon(slot, attempt, SlotResult.Served(firstToken ?: (now - dispatchedAt), incarnation)),
        Finish(ModelRequestResult.Abandoned(event.reason)),
    )
    is ModelRequestEvent.Tick -> onTick(now)
}

private fun Attempting.onTick(now: Duration): Step = when {
    now >= progress.request.deadline -> Finished.with(
        Abandon(slot, attempt, deadlineResult()),
        Finish(progress.copy(wasSent = true).deadlineExceeded()),
    )
    now >= lastActivityAt + progress.limits.idleTimeout -> abandoned("no byte for ${progress.limits.idleTimeout}")
    else -> with()
}

private fun Attempting.deadlineResult(): SlotResult =
    firstToken?.let { SlotResult.Served(it, incarnation) } ?: SlotResult.Failed("no token before the deadline")

private fun Attempting.onAnswer(event: ModelRequestEvent.FromAttempt, now: Duration): Step = when (event) {
    is ModelRequestEvent.AnswerStarted -> onHead(event, now)
    is ModelRequestEvent.KeepAliveReceived -> copy(lastActivityAt = now).with(SendKeepAlive)
    is ModelRequestEvent.TokenReceived -> onToken(event.token, now)
    is ModelRequestEvent.EndReceived -> onEnd(event, now)
    is ModelRequestEvent.AttemptFailed -> onFault(event.fault)
}

private fun Attempting.onHead(event: ModelRequestEvent.AnswerStarted, now: Duration): Step = when {
    event.echoed != attempt -> abandoned("answer of another attempt: ${event.echoed}")
    slot.incarnation != null && event.incarnation != slot.incarnation ->
        abandoned("answer of another incarnation: ${event.incarnation}", SlotResult.Rejected(OK, event.incarnation))
    else -> copy(lastActivityAt = now, isAnswering = true, incarnation = event.incarnation).with()
}

private fun Attempting.onToken(token: AnswerToken, now: Duration): Step = when {
    !isAnswering -> abandoned("token before the head of the answer")
    token.offset != progress.delivered -> abandoned("token ${token.offset} instead of ${progress.delivered}")
    else -> copy(
        progress = progress.copy(delivered = progress.delivered.next()),
        lastActivityAt = now,
        firstToken = firstToken ?: (now - dispatchedAt),
    ).with(Deliver(token))
}

private fun Attempting.onEnd(event: ModelRequestEvent.EndReceived, now: Duration): Step = when {
    !isAnswering -> abandoned("end marker before the head of the answer")
    event.total != null && event.total != progress.delivered ->
        abandoned("end marker at ${event.total} instead of ${progress.delivered}")
    else -> Finished.with(
        Release(slot, SlotResult.Served(firstToken ?: (now - dispatchedAt), incarnation)),
        Finish(ModelRequestResult.Complete),
    )
}

private fun Attempting.onFault(fault: AttemptFault): Step = when (fault) {
    is AttemptFault.NotSent -> progress.copy(lastNotRun = fault.reason).retry(
        this,
        fault.detail,
        Release(slot, SlotResult.Unused.takeIf { fault.reason != NotRunReason.CONNECT_FAILED } ?: failed(fault.detail)),
    )
    is AttemptFault.Rejected -> progress.copy(wasSent = true).retry(
        this,
        "rejected with status ${fault.status}",
        Release(slot, SlotResult.Rejected(fault.status, fault.incarnation)),
    )
    is AttemptFault.Broken -> abandoned(fault.detail)
}

private fun failed(detail: String): SlotResult = SlotResult.Failed(detail)

private fun Attempting.abandoned(detail: String, result: SlotResult = SlotResult.Failed(detail)): Step =
    progress.copy(wasSent = true).retry(this, detail, Abandon(slot, attempt, result))

private fun ModelRequestProgress.retry(failed: Attempting, detail: String, end: ModelRequestEffect): Step {
    val after = copy(failedServers = failedServers + failed.slot.server, lastFailure = detail)
    return if (attempts < limits.maxAttempts) {
        Waiting(after).with(end, Acquire(request.copy(excluded = after.failedServers)))
    } else {
        Finished.with(end, Finish(after.exhausted()))
    }
}

private fun ModelRequestProgress.exhausted(): ModelRequestResult = if (wasSent) {
    ModelRequestResult.Incomplete(IncompleteCause.BACKENDS_FAILED, "$attempts attempts failed; last: $lastFailure")
} else {
    ModelRequestResult.Refused(lastNotRun, limits.retryAfter)
}

private fun ModelRequestProgress.refused(answer: SlotAnswer.Refused): ModelRequestResult = if (wasSent) {
    ModelRequestResult.Incomplete(
        IncompleteCause.NO_SLOT,
        "no slot for another attempt (${answer.reason}); last failure: $lastFailure",
    )
} else {
    ModelRequestResult.Refused(answer.reason, answer.retryAfter)
}

private fun ModelRequestProgress.deadlineExceeded(): ModelRequestResult = if (wasSent) {
    ModelRequestResult.Incomplete(IncompleteCause.DEADLINE, "deadline exceeded; last failure: $lastFailure")
} else {
    ModelRequestResult.Refused(NotRunReason.DEADLINE_EXCEEDED, limits.retryAfter)
}

/** Status reported for a response with an unexpected boot id. */
private const val OK = 200
