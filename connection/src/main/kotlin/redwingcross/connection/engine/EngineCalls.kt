package redwingcross.connection.engine

/** Result of one call to a model engine. */
sealed interface EngineResult<out T> {
    /** The engine answered. */
    data class Answered<T>(val value: T) : EngineResult<T>

    /** The call was not sent, so the engine can't have received it. */
    data class NotSent(val detail: String) : EngineResult<Nothing>

    /** No valid response was received; the call may have taken effect or may still do so. */
    data class NoAnswer(val detail: String) : EngineResult<Nothing>
}

/** The engine's response to an order. */
sealed interface OrderAnswer {
    /** The engine accepted the order. */
    data object Accepted : OrderAnswer

    /** The order was refused, because the engine has accepted an order with the higher fencing token [highest]. */
    data class Fenced(val highest: Long) : OrderAnswer

    /** The order was refused with another HTTP status. */
    data class Refused(val status: Int) : OrderAnswer
}

/** Reads the report of the engine at an endpoint (`address:port`). */
typealias ReadReport = suspend (endpoint: String) -> EngineResult<EngineReport>

/** Sends an order to the engine at an endpoint (`address:port`) at most once, without retries. */
typealias SendOrder = suspend (endpoint: String, order: EngineOrder) -> EngineResult<OrderAnswer>
