package redwingcross.standins.engine

import io.undertow.server.HttpServerExchange
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** What becomes of a request on its arrival. */
internal sealed interface GateAnswer {
    data object Close : GateAnswer

    data object KeepSilent : GateAnswer

    data class Proceed(val fault: RequestFault) : GateAnswer
}

/** Applies the faults that hold for every request. */
internal class FaultGate(private val task: EngineTask) {
    /** For a `POST`: takes the next fault that counts requests. */
    suspend fun enter(stream: Boolean): GateAnswer {
        if (!passReading()) return GateAnswer.Close
        return when (val fault = task.ask { state, _ -> state.takeFault(stream) }) {
            RequestFault.SILENT -> GateAnswer.KeepSilent
            else -> GateAnswer.Proceed(fault)
        }
    }

    /** Waits for the end of a freeze and the delay; false if the engine is down. */
    suspend fun passReading(): Boolean {
        awaitThaw()
        delay(task.read { state, _ -> (state.faults.lateMillis ?: 0).milliseconds })
        return task.read { state, _ -> !state.isDown }
    }

    /** Suspends while the engine is frozen. */
    suspend fun awaitThaw() {
        var left = frozenFor()
        while (left > Duration.ZERO) {
            delay(left)
            left = frozenFor()
        }
    }

    /** Keeps the connection open without an answer. The limit keeps forgotten connections from adding up. */
    suspend fun holdSilently(exchange: HttpServerExchange) {
        delay(5.minutes)
        exchange.abort()
    }

    private suspend fun frozenFor(): Duration = task.read { state, now -> state.frozenUntil - now }
}
