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
 * The task that owns the state of all attempts of this process. Steps and requests to abandon pass through one mailbox,
 * so an attempt is either abandoned or dispatched, never both. Senders suspend while the mailbox is full.
 *
 * Attempts that ended without having run are remembered, so that a record that a delayed write puts into the store
 * afterwards can still be taken over.
 */
internal class AttemptRegistry(scope: CoroutineScope, private val clock: MonotonicClock, private val maxRunning: Int) {
    private val mailbox = Channel<Message>(MAILBOX) { it.cancel() }
    private val running = HashMap<AttemptId, NonIdempotentCall>()
    private val neverRan = LinkedHashSet<AttemptId>()
    private var idle = mutableListOf<CompletableDeferred<Unit>>()

    init {
        scope.launch { for (message in mailbox) handle(message) }
        scope.coroutineContext.job.invokeOnCompletion { mailbox.cancel() }
    }

    /** False if [maxRunning] attempts are running already. */
    suspend fun register(context: CallContext): Boolean =
        CompletableDeferred<Boolean>().also { mailbox.send(Message.Register(context, it)) }.await()

    suspend fun step(attempt: AttemptId, event: CallEvent): List<CallEffect> =
        CompletableDeferred<List<CallEffect>>().also { mailbox.send(Message.Step(attempt, event, it)) }.await()

    suspend fun abandon(attempt: AttemptId): Boolean =
        step(attempt, CallEvent.AbandonRequested).contains(CallEffect.ReplyAbandon(true))

    /** Returns when no attempt is running. */
    suspend fun awaitIdle() = CompletableDeferred<Unit>().also { mailbox.send(Message.AwaitIdle(it)) }.await()

    private fun handle(message: Message) {
        when (message) {
            is Message.Register -> {
                val accepted = running.size < maxRunning
                if (accepted) running[message.context.attempt] = NonIdempotentCall(message.context)
                message.reply.complete(accepted)
            }

            is Message.Step -> message.reply.complete(apply(message.attempt, message.event))

            is Message.AwaitIdle -> idle += message.reply
        }
        if (running.isEmpty()) idle.onEach { it.complete(Unit) }.clear()
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
        if (neverRan.size > MAX_REMEMBERED) neverRan.remove(neverRan.first())
    }

    private sealed interface Message {
        val reply: CompletableDeferred<*>

        /** Releases the sender when the registry ends before it handled the message. */
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
        const val MAILBOX = 256

        /** About 1 MB; a forgotten attempt counts as one that may have run. */
        const val MAX_REMEMBERED = 8_192
    }
}
