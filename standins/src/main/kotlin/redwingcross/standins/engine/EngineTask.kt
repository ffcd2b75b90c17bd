package redwingcross.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import redwingcross.request.MonotonicClock
import kotlin.time.Duration

private const val MAILBOX = 256

/** Task that owns the state of one engine; request handlers send it steps and wait for the answer. */
internal class EngineTask(private var state: EngineState, private val clock: MonotonicClock) {
    private class Message<T>(
        private val step: (EngineState, Duration) -> Pair<EngineState, T>,
        val answer: CompletableDeferred<T> = CompletableDeferred(),
    ) {
        fun applyTo(state: EngineState, now: Duration): EngineState {
            val (next, value) = step(state, now)
            answer.complete(value)
            return next
        }
    }

    private val mailbox = Channel<Message<*>>(MAILBOX)

    /** Runs until it is cancelled. */
    suspend fun run() {
        for (message in mailbox) state = message.applyTo(state, clock.now())
    }

    /** Applies one step to the state and returns its answer; suspends while the mailbox is full. */
    suspend fun <T> ask(step: (EngineState, Duration) -> Pair<EngineState, T>): T {
        val message = Message(step)
        mailbox.send(message)
        return message.answer.await()
    }

    suspend fun <T> read(read: (EngineState, Duration) -> T): T = ask { state, now -> state to read(state, now) }

    suspend fun change(change: (EngineState, Duration) -> EngineState) = ask { state, now ->
        change(state, now) to Unit
    }
}
