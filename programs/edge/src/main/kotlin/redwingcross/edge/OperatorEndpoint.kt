package redwingcross.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.platform.RequestFormat
import redwingcross.request.RequestTrait

/** Serves metrics, the state of the process and the commands of operators on the port for metrics. */
internal class OperatorEndpoint(
    private val scrape: () -> String,
    private val state: () -> EdgeState,
    /** Lifts the block of a trait; returns false if it is not blocked. */
    private val liftBlock: (RequestTrait) -> Boolean,
) {
    fun serve(exchange: CallerExchange) {
        val target = exchange.head.target
        when {
            target == METRICS_PATH -> exchange.respondText(OK, "text/plain; version=0.0.4", scrape())
            target == STATE_PATH -> exchange.respondText(OK, "application/json", state().toJson())
            target.startsWith(LIFT_PATH) -> lift(exchange, target.removePrefix(LIFT_PATH))
            else -> exchange.respond(NOT_FOUND, DefaultHttpHeaders(), ByteArray(0))
        }
    }

    private fun lift(exchange: CallerExchange, id: String) {
        val trait = RequestFormat.decodeTrait(id)
        when {
            exchange.head.method != "POST" -> exchange.respondText(WRONG_METHOD, PLAIN, "a block is lifted by POST")
            trait == null -> exchange.respondText(
                BAD_REQUEST,
                PLAIN,
                "'$id' is not the id of a part of prompts or of a request",
            )
            liftBlock(trait) -> exchange.respondText(OK, PLAIN, "the block of ${trait.id} is lifted")
            else -> exchange.respondText(CONFLICT, PLAIN, "${trait.id} is not blocked at this process")
        }
    }

    private fun CallerExchange.respondText(status: Int, type: String, text: String) =
        respond(status, DefaultHttpHeaders().add("Content-Type", type), text.encodeToByteArray())

    companion object {
        /** Path of the state of the process, as JSON. */
        const val STATE_PATH: String = "/state"

        /** Path, followed by the id of a trait, to which a request to lift its block is posted. */
        const val LIFT_PATH: String = "/lift-block/"
        private const val METRICS_PATH = "/metrics"
        private const val PLAIN = "text/plain"
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val WRONG_METHOD = 405
        private const val CONFLICT = 409
    }
}
