package redwingcross.connection.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Collects the parts of one request after another. The bodies count toward [bodyBudget]. */
internal class IncomingRequest(private val bodyBudget: RequestBodyBudget) {
    private var head: HttpRequest? = null
    private var body = BodyBuffer(0)
    private var reservation = bodyBudget.Reservation()

    /** Whether the head of a request has been added, but not yet its last part. */
    val isBegun: Boolean get() = head != null

    /** Adds the next [part] under [limits]; returns the status with which the request is refused, null otherwise. */
    fun add(part: HttpObject, limits: CallerConnectionLimits): HttpResponseStatus? = when {
        part.decoderResult().isFailure -> statusFor(part.decoderResult().cause())
        part is HttpRequest -> begin(part, limits)
        part is HttpContent && isBegun -> append(part, limits)
        else -> null
    }

    private fun begin(part: HttpRequest, limits: CallerConnectionLimits): HttpResponseStatus? {
        head = part
        val declared = HttpUtil.getContentLength(part, 0L)
        return when {
            part.protocolVersion().majorVersion() != 1 -> HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED
            part.headers().getAll(HttpHeaderNames.HOST).size > 1 -> HttpResponseStatus.BAD_REQUEST
            declared > bodyBudget.largestBody(limits) -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            !reservation.extendTo(declared) -> HttpResponseStatus.SERVICE_UNAVAILABLE
            else -> {
                body = BodyBuffer(declared.toInt())
                null
            }
        }
    }

    private fun append(part: HttpContent, limits: CallerConnectionLimits): HttpResponseStatus? {
        val content = part.content()
        val total = body.size().toLong() + content.readableBytes()
        if (total > bodyBudget.largestBody(limits)) return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        // The declared length is reserved already, so this fails only for a body in chunks.
        if (!reservation.extendTo(total)) return HttpResponseStatus.SERVICE_UNAVAILABLE
        content.readBytes(body, content.readableBytes())
        return null
    }

    /** Passes the head and the body of a complete request and its part of the budget to [use]. */
    fun <T> take(use: (HttpRequest, ByteArray, RequestBodyBudget.Reservation) -> T): T {
        val taken = use(checkNotNull(head) { "no request has been received" }, body.takeBytes(), reservation)
        head = null
        body = BodyBuffer(0)
        reservation = bodyBudget.Reservation()
        return taken
    }

    /** Drops what has been added of a request. */
    fun discard() {
        head = null
        body = BodyBuffer(0)
        reservation.release()
    }

    /** Status with which a request is refused that could not be decoded because of [cause]. */
    private fun statusFor(cause: Throwable?): HttpResponseStatus {
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST
    }
}
