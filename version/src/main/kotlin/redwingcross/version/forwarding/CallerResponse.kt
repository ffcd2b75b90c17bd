package redwingcross.version.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import redwingcross.connection.http.CallerExchange
import redwingcross.connection.http.ResponseHead
import redwingcross.connection.http.copyEndToEndTo
import redwingcross.request.forward.ForwardStep
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** The response to the caller of one request. Its body is collected until it is complete or too long to be held. */
internal class CallerResponse(
    private val exchange: CallerExchange,
    private val refusalHeaders: (Duration?) -> HttpHeaders,
) {
    private val body = ByteArrayOutputStream(0)

    /** Head of the back end's response that was begun to the caller; null before that. */
    var begunHead: ResponseHead? = null
        private set

    /** Whether more bytes were collected than a response may have that is held. */
    val isTooLong: Boolean get() = isTooLong(body.size())

    fun collect(bytes: ByteArray): Unit = body.write(bytes)

    fun discardCollected(): Unit = body.reset()

    /** Begins a response of unknown length with [head] and the bytes that were collected so far. */
    fun begin(head: ResponseHead) {
        exchange.beginStream(head.status, endToEndHeaders(head))
        begunHead = head
        if (body.size() > 0) exchange.write(body.toByteArray())
        body.reset()
    }

    /** Ends the response: the one that was begun, or a whole one with [head] and the collected bytes. */
    fun complete(head: ResponseHead) {
        if (begunHead == null) {
            exchange.respond(head.status, endToEndHeaders(head), body.toByteArray())
        } else {
            exchange.endStream()
        }
    }

    /**
     * Ends the response with [step], which ends the request. [errorHead] is the head of the back end's error that is
     * passed on, [isSent] whether the request was sent to a back end, and [retryAfter] the delay that a refusal states.
     */
    fun finish(step: ForwardStep, errorHead: ResponseHead?, isSent: Boolean, retryAfter: () -> Duration) {
        when (step) {
            ForwardStep.PassError -> errorHead?.let(::complete) ?: fail(BAD_GATEWAY)
            ForwardStep.Refuse -> fail(SERVICE_UNAVAILABLE, retryAfter())
            ForwardStep.ReportUnknown -> fail(BAD_GATEWAY)
            ForwardStep.ReportTimeout -> fail(if (isSent) GATEWAY_TIMEOUT else SERVICE_UNAVAILABLE)
            ForwardStep.BreakOff -> exchange.abort()
            is ForwardStep.OfferAgain -> error("OfferAgain does not end a request")
        }
    }

    /** Responds with a status of the gateway's own. */
    private fun fail(status: Int, retryAfter: Duration? = null): Unit =
        exchange.respond(status, refusalHeaders(retryAfter), ByteArray(0))

    private fun endToEndHeaders(head: ResponseHead) = DefaultHttpHeaders().also(head.headers::copyEndToEndTo)

    internal companion object {
        /**
         * A longer response is relayed while it arrives; after that the request can't be retried any more. Longer
         * events, errors and comments before the first event come from a faulty back end, which may send bytes without
         * end.
         */
        private const val MAX_COLLECTED_BYTES = 262_144
        private const val BAD_GATEWAY = 502
        private const val SERVICE_UNAVAILABLE = 503
        private const val GATEWAY_TIMEOUT = 504

        /** Whether [bytes] of a response, an event or an error are too many to be held. */
        fun isTooLong(bytes: Int): Boolean = bytes > MAX_COLLECTED_BYTES
    }
}
