package redwingcross.standins.engine

import io.undertow.server.HttpServerExchange
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Whether a received request is handled. */
internal sealed interface GateDecision {
    data object Close : GateDecision

    /** The connection stays open without a response. */
    data object HoldOpen : GateDecision

    /** The request is handled with [fault] applied. */
    data class Proceed(val fault: RequestFault) : GateDecision
}

/** Applies the faults that take effect before a request is handled. */
internal class FaultGate(private val task: EngineTask) {
    /** Waits as [awaitAvailable] does, then uses up the next fault that applies to a `POST`. */
    suspend fun admit(stream: Boolean): GateDecision {
        if (!awaitAvailable()) return GateDecision.Close
        return when (val fault = task.execute { state, _ -> state.takeFault(stream) }) {
            RequestFault.SILENT -> GateDecision.HoldOpen
            else -> GateDecision.Proceed(fault)
        }
    }

    /** Waits until a freeze has ended and the delay has passed; false if the engine is down. */
    suspend fun awaitAvailable(): Boolean {
        awaitUnfrozen()
        delay(task.read { state, _ -> (state.faults.lateMillis ?: 0).milliseconds })
        return task.read { state, _ -> !state.isDown }
    }

    /** Suspends while the engine is frozen. */
    suspend fun awaitUnfrozen() {
        var remaining = remainingFreeze()
        while (remaining > Duration.ZERO) {
            delay(remaining)
            remaining = remainingFreeze()
        }
    }

    /** Keeps the connection open without a response; closes it after 5 minutes to bound their number. */
    suspend fun holdOpen(exchange: HttpServerExchange) {
        delay(5.minutes)
        exchange.abort()
    }

    private suspend fun remainingFreeze(): Duration = task.read { state, now -> state.frozenUntil - now }
}
