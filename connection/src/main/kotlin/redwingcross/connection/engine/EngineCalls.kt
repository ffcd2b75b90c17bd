package redwingcross.connection.engine

/** Outcome of one call to a model engine. */
sealed interface EngineResult<out T> {
    data class Answered<T>(val value: T) : EngineResult<T>

    /** The engine can't have seen the call. */
    data class NotSent(val detail: String) : EngineResult<Nothing>

    /** The engine may have carried out the call, or may still do so. */
    data class NoAnswer(val detail: String) : EngineResult<Nothing>
}

/** The engine's answer to an order. */
sealed interface OrderAnswer {
    data object Accepted : OrderAnswer

    /** The engine has accepted an order with the higher token [highest]. */
    data class Fenced(val highest: Long) : OrderAnswer

    data class Refused(val status: Int) : OrderAnswer
}

/** Reads the report of the engine at an endpoint (`address:port`). */
typealias ReadReport = suspend (endpoint: String) -> EngineResult<EngineReport>

/** Sends an order once to the engine at an endpoint (`address:port`); it is never resent. */
typealias SendOrder = suspend (endpoint: String, order: EngineOrder) -> EngineResult<OrderAnswer>
