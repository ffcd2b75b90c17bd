package redwingcross.connection.idempotency

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import redwingcross.connection.platform.PlatformStore
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.eventLine
import redwingcross.request.idempotency.BodyDigest
import redwingcross.request.idempotency.CallContext
import redwingcross.request.idempotency.CallEffect
import redwingcross.request.idempotency.CallEvent
import redwingcross.request.idempotency.EarlierAttempts
import redwingcross.request.idempotency.IdempotencyLimits
import redwingcross.request.idempotency.NonIdempotentResult
import redwingcross.request.idempotency.RecordName
import redwingcross.request.service.DispatchAttempt
import redwingcross.request.service.ServiceAnswer
import redwingcross.request.service.ServiceCall
import kotlin.time.Duration.Companion.seconds

/**
 * Requests a gateway to abandon an attempt. Returns true only if that gateway confirmed that the attempt was not
 * dispatched and never will be; false if it declined or is unreachable.
 */
typealias RequestAbandon = suspend (ProcessName, AttemptId) -> Boolean

/**
 * Runs the non-idempotent calls of one gateway, at most once per idempotency key. Its coroutines run in [scope].
 *
 * [self] is the name of this gateway. [newAttempt] must never return the same id twice, not even after a restart of the
 * process under the same name. [maxRunning] limits the attempts in flight; further calls are refused as queue full.
 */
class NonIdempotentCalls(
    private val scope: CoroutineScope,
    platform: PlatformStore,
    private val self: ProcessName,
    private val newAttempt: () -> AttemptId,
    private val requestAbandon: RequestAbandon,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val limits: IdempotencyLimits = IdempotencyLimits(),
    maxRunning: Int = 1_024,
) {
    private val log = KotlinLogging.logger {}
    private val store = RecordStore(platform)
    private val registry = AttemptRegistry(scope, clock, maxRunning)
    private val deferredUpdates = DeferredUpdateTask(scope, store, clock)

    /**
     * Claims the idempotency key of [call] in the store, calls [dispatch] at most once and records the outcome.
     *
     * The attempt continues when the calling coroutine is cancelled, so that its outcome is still recorded.
     */
    suspend fun run(call: ServiceCall, dispatch: DispatchAttempt): NonIdempotentResult {
        val key = call.key
            ?: return NonIdempotentResult.NotRun(NotRunReason.INVALID_REQUEST, EarlierAttempts.NONE)
        val context = CallContext(newAttempt(), self, BodyDigest.of(call), call.deadline, limits)
        return try {
            if (registry.register(context)) {
                scope.async { attempt(context.attempt, RecordName.of(call.customer, key), dispatch) }.await()
            } else {
                NonIdempotentResult.NotRun(NotRunReason.QUEUE_FULL, EarlierAttempts.UNKNOWN)
            }
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            NonIdempotentResult.OutcomeUnknown("the gateway stopped during attempt ${context.attempt}")
        }
    }

    /**
     * Abandons [attempt] on behalf of another gateway that found it in a record.
     *
     * Returns true only if the attempt did not run and never will; it is marked as abandoned before this returns.
     * Returns false if this gateway has stopped.
     */
    suspend fun abandon(attempt: AttemptId): Boolean = try {
        registry.abandon(attempt)
    } catch (_: CancellationException) {
        currentCoroutineContext().ensureActive()
        false
    }

    /** Suspends until no attempt of this process is running; used for a graceful shutdown. */
    suspend fun awaitIdle() = registry.awaitIdle()

    private suspend fun attempt(id: AttemptId, name: RecordName, dispatch: DispatchAttempt): NonIdempotentResult {
        var event: CallEvent = CallEvent.Started
        while (true) {
            val effects = registry.step(id, event)
            effects.filterIsInstance<CallEffect.DeferUpdate>().forEach { deferredUpdates.add(name, it.update) }
            when (val effect = effects.last()) {
                is CallEffect.Finish -> return effect.result.also { logEnd(id, name, it) }
                else -> event = execute(effect, id, name, dispatch)
            }
        }
    }

    private suspend fun execute(
        effect: CallEffect,
        id: AttemptId,
        name: RecordName,
        dispatch: DispatchAttempt,
    ): CallEvent = when (effect) {
        is CallEffect.Write -> store.write(name, effect.record, effect.expected)

        CallEffect.Read -> store.read(name)

        is CallEffect.Delete -> store.delete(name, effect.expected)

        is CallEffect.Wait -> {
            delay(effect.duration)
            CallEvent.WaitElapsed
        }

        is CallEffect.RequestAbandon -> CallEvent.AbandonAnswered(requestAbandonOf(effect))

        CallEffect.Dispatch -> CallEvent.DispatchEnded(dispatchCall(id, dispatch))

        is CallEffect.ReplyAbandon, is CallEffect.DeferUpdate, is CallEffect.Finish ->
            error("attempt $id: unexpected effect $effect")
    }

    private suspend fun requestAbandonOf(effect: CallEffect.RequestAbandon): Boolean = if (effect.gateway == self) {
        registry.abandon(effect.attempt)
    } else {
        withTimeoutOrNull(ABANDON_TIMEOUT) { requestAbandon(effect.gateway, effect.attempt) } ?: false
    }

    /** A dispatch that throws may already have sent the request, so its outcome is unknown. */
    private suspend fun dispatchCall(id: AttemptId, dispatch: DispatchAttempt): Outcome<ServiceAnswer> =
        runCatching { dispatch(id) }.getOrElse { failure ->
            currentCoroutineContext().ensureActive()
            Outcome.Unknown("dispatch failed: ${failure.javaClass.simpleName} ${failure.message}")
        }

    private fun logEnd(id: AttemptId, name: RecordName, result: NonIdempotentResult) = log.info {
        eventLine(
            "non_idempotent_call_ended",
            "attempt" to id,
            "record" to name.value,
            "result" to result.javaClass.simpleName,
        )
    }

    private companion object {
        val ABANDON_TIMEOUT = 2.seconds
    }
}
