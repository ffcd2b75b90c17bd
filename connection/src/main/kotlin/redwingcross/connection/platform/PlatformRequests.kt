package redwingcross.connection.platform

import okhttp3.HttpUrl
import okhttp3.Request
import redwingcross.request.Checked

internal const val OK = 200
internal const val NO_CONTENT = 204
internal const val BAD_REQUEST = 400
internal const val NOT_FOUND = 404
internal const val GONE = 410
internal const val PRECONDITION_FAILED = 412
internal const val TOO_LARGE = 413
internal const val SERVER_ERROR = 500

internal fun HttpUrl.at(kind: ObjectKind): HttpUrl =
    newBuilder().addPathSegment("objects").addPathSegment(kind.value).build()

internal fun HttpUrl.at(key: ObjectKey): HttpUrl = at(key.kind).newBuilder().addPathSegment(key.name).build()

/** A delete has an empty one-shot body as well, so that the HTTP client never retries it after a 503. */
internal fun ConditionalWrite.toRequest(base: HttpUrl, bytes: ByteArray): Request {
    val builder = Request.Builder().url(base.at(key))
    expected?.let { builder.header("If-Match", it.value.toString()) } ?: builder.header("If-None-Match", "*")
    return when (this) {
        is ConditionalWrite.Put -> builder.put(OneShotBody(bytes))
        is ConditionalWrite.Delete -> builder.delete(OneShotBody(bytes))
    }.build()
}

internal fun ExchangeResult.toWriteResult(key: ObjectKey): PlatformResult<WriteAnswer> = when (this) {
    is ExchangeResult.Failed ->
        if (sent) PlatformResult.OutcomeUnknown(detail) else PlatformResult.Unavailable(detail)

    is ExchangeResult.Answer -> when (status) {
        OK ->
            version?.toLongOrNull()
                ?.let { PlatformResult.Answered(WriteAnswer.Written(ObjectVersion(it))) }
                ?: PlatformResult.OutcomeUnknown("write $key: X-Version: not a number: $version")

        PRECONDITION_FAILED, NOT_FOUND -> PlatformResult.Answered(WriteAnswer.Conflict)

        // The platform refused the request itself, so nothing was written.
        BAD_REQUEST, TOO_LARGE -> PlatformResult.Unavailable("write $key: refused with status $status")

        else -> PlatformResult.OutcomeUnknown("write $key: unexpected status $status")
    }
}

internal fun ExchangeResult.toListResult(kind: ObjectKind): PlatformResult<ListedKind> = when (this) {
    is ExchangeResult.Failed -> PlatformResult.Unavailable(detail)

    is ExchangeResult.Answer ->
        if (status == OK) {
            decodeList(kind, this).orUnavailable { it }
        } else {
            PlatformResult.Unavailable("GET $kind: unexpected status $status")
        }
}

internal fun ExchangeResult.toPollResult(kind: ObjectKind): PollResult = when {
    this is ExchangeResult.Answer && status == NO_CONTENT -> PollResult.Unchanged

    this is ExchangeResult.Answer && status == GONE -> PollResult.Gap

    else -> when (val listed = toListResult(kind)) {
        is PlatformResult.Answered -> PollResult.Listed(listed.value)
        is PlatformResult.Unavailable -> PollResult.Failed(listed.detail)
        is PlatformResult.OutcomeUnknown -> PollResult.Failed(listed.detail)
    }
}

internal fun <T, R> Checked<T>.orUnavailable(transform: (T) -> R): PlatformResult<R> = when (this) {
    is Checked.Valid -> PlatformResult.Answered(transform(value))
    is Checked.Invalid -> PlatformResult.Unavailable("malformed response: ${findings.joinToString()}")
}

internal fun <T, R> PlatformResult<T>.map(transform: (T) -> R): PlatformResult<R> = when (this) {
    is PlatformResult.Answered -> PlatformResult.Answered(transform(value))
    is PlatformResult.Unavailable -> this
    is PlatformResult.OutcomeUnknown -> this
}
