package redwingcross.connection.caller

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import redwingcross.request.NotRunReason
import redwingcross.request.Transition
import redwingcross.request.eventLine
import redwingcross.request.model.AttemptFault
import redwingcross.request.model.CallerLoss
import redwingcross.request.model.ModelAttempt
import redwingcross.request.model.ModelRequestEffect
import redwingcross.request.model.ModelRequestEvent
import redwingcross.request.model.ModelRequestResult
import redwingcross.request.model.ModelRequestState
import redwingcross.request.model.next
import redwingcross.request.model.startModelRequest
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The task of one model request. It owns the request's state machine, executes its effects and is the only component
 * that releases the request's slots. The event channel has no buffer, so an attempt stops reading from its back end
 * while the caller's mailbox is full.
 */
internal class ModelExchange(
    private val services: CallerServices,
    private val request: SlotRequest,
    private val engineBody: ByteArray,
    private val output: ModelOutput,
    private val callerLoss: Deferred<CallerLoss>,
) {
    private val events = Channel<ModelRequestEvent>(Channel.RENDEZVOUS)
    private val clock = services.clock
    private var waitingForSlot = false
    private var attemptJob: Job? = null

    /** Runs the request until it ends, shortly after its deadline at the latest. It cannot be cancelled. */
    suspend fun run() = withContext(NonCancellable) {
        coroutineScope {
            var step: Transition<ModelRequestState, ModelRequestEffect> =
                startModelRequest(request, services.modelLimits)
            while (true) {
                val followUp = carryOut(step.effects)
                // A slot that is granted after the request ended still has to be released.
                if (step.state is ModelRequestState.Finished && !waitingForSlot) break
                val event = followUp ?: nextEvent(step.state)
                if (event is ModelRequestEvent.SlotAnswered) waitingForSlot = false
                step = step.state.next(event, clock.now())
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextEvent(state: ModelRequestState): ModelRequestEvent = select {
        if (state !is ModelRequestState.Finished) callerLoss.onAwait { ModelRequestEvent.CallerLost(it) }
        events.onReceive { it }
        state.wakeUpAt?.let { wakeUpAt ->
            onTimeout((wakeUpAt - clock.now()).coerceAtLeast(Duration.ZERO)) { ModelRequestEvent.Tick }
        }
    }

    /** Executes the effects in order; returns the event that results from delivering output, or null. */
    private suspend fun CoroutineScope.carryOut(effects: List<ModelRequestEffect>): ModelRequestEvent? {
        var followUp: ModelRequestEvent? = null
        for (effect in effects) {
            when (effect) {
                is ModelRequestEffect.Acquire -> acquire(effect.request)
                is ModelRequestEffect.Dispatch -> dispatch(effect)
                is ModelRequestEffect.Deliver -> followUp = outputEvent { output.deliver(effect.token) }
                is ModelRequestEffect.SendKeepAlive -> followUp = outputEvent { output.keepAlive() }
                is ModelRequestEffect.Release -> services.slots.release(effect.slot.id, effect.result)
                is ModelRequestEffect.Abandon -> abandon(effect)
                is ModelRequestEffect.Finish -> finish(effect.result)
            }
        }
        return followUp
    }

    private suspend fun finish(result: ModelRequestResult) {
        if (result !is ModelRequestResult.Complete) {
            callerLog.info { eventLine("model_request_failed", "request" to request.request, "result" to result) }
        }
        output.finish(result)
    }

    private fun CoroutineScope.acquire(slotRequest: SlotRequest) {
        waitingForSlot = true
        // Not cancelled, because a slot that is granted at the same moment would never be released.
        launch {
            val answer = runCatching { services.slots.acquire(slotRequest) }.getOrElse { failure ->
                callerLog.error(failure) { eventLine("acquire_failed", "request" to request.request) }
                SlotAnswer.Refused(NotRunReason.SHUTTING_DOWN, 1.seconds)
            }
            events.send(ModelRequestEvent.SlotAnswered(answer, services.newAttemptId()))
        }
    }

    private fun CoroutineScope.dispatch(effect: ModelRequestEffect.Dispatch) {
        val attempt = ModelAttempt(
            slot = effect.slot,
            attempt = effect.attempt,
            request = request.request,
            priority = request.priority,
            resumeAt = effect.resumeAt,
            body = engineBody,
        )
        attemptJob = launch {
            runCatching { services.runAttempt(attempt, services.slots.confirm) { events.send(it) } }
                .exceptionOrNull()?.let { failure ->
                    if (failure is CancellationException) throw failure
                    callerLog.error(failure) { eventLine("attempt_failed", "attempt" to effect.attempt) }
                    val fault = AttemptFault.Broken(failure.toString())
                    events.send(ModelRequestEvent.AttemptFailed(effect.attempt, fault))
                }
        }
    }

    private fun CoroutineScope.abandon(effect: ModelRequestEffect.Abandon) {
        attemptJob?.cancel()
        // The slot is released only after the cancellation, otherwise the engine could exceed its concurrency limit.
        launch {
            runCatching { services.cancelAttempt(effect.slot, effect.attempt) }.onFailure { failure ->
                callerLog.warn { eventLine("cancel_failed", "attempt" to effect.attempt, "cause" to failure) }
            }
            services.slots.release(effect.slot.id, effect.result)
        }
    }

    /** Writes output to the caller's mailbox; a caller whose mailbox stays full until the deadline is stalled. */
    private suspend fun outputEvent(writeOutput: suspend () -> CallerLoss?): ModelRequestEvent =
        withTimeoutOrNull(request.deadline - clock.now()) {
            writeOutput()?.let(ModelRequestEvent::CallerLost) ?: ModelRequestEvent.OutputAccepted
        } ?: ModelRequestEvent.CallerLost(CallerLoss.STALLED)
}
