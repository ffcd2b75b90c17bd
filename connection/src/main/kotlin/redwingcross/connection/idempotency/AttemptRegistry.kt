package redwingcross.connection.idempotency

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import redwingcross.request.AttemptId
import redwingcross.request.MonotonicClock
import redwingcross.request.idempotency.CallContext
import redwingcross.request.idempotency.CallEffect
import redwingcross.request.idempotency.CallEvent
import redwingcross.request.idempotency.CallPhase
import redwingcross.request.idempotency.NonIdempotentCall
import redwingcross.request.idempotency.next

/**
 * Owns the state of all running attempts of this process.
 *
 * One coroutine handles all events and abandon requests from a single mailbox, so an attempt is either abandoned or
 * dispatched, never both. Senders suspend while the mailbox is full.
 *
 * The registry also keeps the ids of attempts that ended without having run. A delayed write can still store the record
 * of such an attempt after it ended; because its id is known, another gateway can take that record over.
 */
internal class AttemptRegistry(scope: CoroutineScope, private val clock: MonotonicClock, private val maxRunning: Int) {
    private val mailbox = Channel<Message>(MAILBOX_CAPACITY) { it.cancel() }
    private val running = HashMap<AttemptId, NonIdempotentCall>()
    private val neverRan = LinkedHashSet<AttemptId>()
    private var idleWaiters = mutableListOf<CompletableDeferred<Unit>>()

    init {
        scope.launch { for (message in mailbox) handle(message) }
        scope.coroutineContext.job.invokeOnCompletion { mailbox.cancel() }
    }

    /** Adds an attempt; returns false if [maxRunning] attempts are already running. */
    suspend fun register(context: CallContext): Boolean =
        CompletableDeferred<Boolean>().also { mailbox.send(Message.Register(context, it)) }.await()

    /** Applies [event] to the running attempt and returns the effects to execute. */
    suspend fun step(attempt: AttemptId, event: CallEvent): List<CallEffect> =
        CompletableDeferred<List<CallEffect>>().also { mailbox.send(Message.Step(attempt, event, it)) }.await()

    /** Returns true only if the attempt was not dispatched and never will be. */
    suspend fun abandon(attempt: AttemptId): Boolean =
        step(attempt, CallEvent.AbandonRequested).contains(CallEffect.ReplyAbandon(true))

    /** Suspends until no attempt is running. */
    suspend fun awaitIdle() = CompletableDeferred<Unit>().also { mailbox.send(Message.AwaitIdle(it)) }.await()

    private fun handle(message: Message) {
        when (message) {
            is Message.Register -> {
                val accepted = running.size < maxRunning
                if (accepted) running[message.context.attempt] = NonIdempotentCall(message.context)
                message.reply.complete(accepted)
            }

            is Message.Step -> message.reply.complete(apply(message.attempt, message.event))

            is Message.AwaitIdle -> idleWaiters += message.reply
        }
        if (running.isEmpty()) idleWaiters.onEach { it.complete(Unit) }.clear()
    }

    private fun apply(attempt: AttemptId, event: CallEvent): List<CallEffect> {
        val call = running[attempt] ?: return listOf(CallEffect.ReplyAbandon(attempt in neverRan))
        val step = call.next(event, clock.now())
        running[attempt] = step.state
        if (step.state.phase is CallPhase.Finished) end(step.state)
        return step.effects
    }

    private fun end(call: NonIdempotentCall) {
        running.remove(call.context.attempt)
        if (call.mayHaveRun) return
        neverRan += call.context.attempt
        if (neverRan.size > MAX_NEVER_RAN) neverRan.remove(neverRan.first())
    }

    private sealed interface Message {
        val reply: CompletableDeferred<*>

        /** Cancels the reply, so that the sender does not wait forever if the registry stops before handling it. */
        fun cancel() = reply.cancel()

        class Register(val context: CallContext, override val reply: CompletableDeferred<Boolean>) : Message

        class Step(
            val attempt: AttemptId,
            val event: CallEvent,
            override val reply: CompletableDeferred<List<CallEffect>>,
        ) : Message

        class AwaitIdle(override val reply: CompletableDeferred<Unit>) : Message
    }

    private companion object {
        const val MAILBOX_CAPACITY = 256

        /** 8192 ids take about 1 MB. An attempt whose id was evicted is treated as one that may have run. */
        const val MAX_NEVER_RAN = 8_192
    }
}
