package redwingcross.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import redwingcross.request.MonotonicClock
import kotlin.time.Duration

private const val MAILBOX_CAPACITY = 256

/** Task that owns the state of one engine; request handlers send it steps and wait for their results. */
internal class EngineTask(private var state: EngineState, private val clock: MonotonicClock) {
    private class Message<T>(
        private val step: (EngineState, Duration) -> Pair<EngineState, T>,
        val result: CompletableDeferred<T> = CompletableDeferred(),
    ) {
        fun applyTo(state: EngineState, now: Duration): EngineState {
            val (next, value) = step(state, now)
            result.complete(value)
            return next
        }
    }

    private val mailbox = Channel<Message<*>>(MAILBOX_CAPACITY)

    /** Processes steps until cancelled. */
    suspend fun run() {
        for (message in mailbox) state = message.applyTo(state, clock.now())
    }

    /** Applies [step] to the state and returns its result; suspends while the mailbox is full. */
    suspend fun <T> execute(step: (EngineState, Duration) -> Pair<EngineState, T>): T {
        val message = Message(step)
        mailbox.send(message)
        return message.result.await()
    }

    suspend fun <T> read(read: (EngineState, Duration) -> T): T = execute { state, now -> state to read(state, now) }

    suspend fun change(change: (EngineState, Duration) -> EngineState) = execute { state, now ->
        change(state, now) to Unit
    }
}
