package redwingcross.connection.caller

import org.http4k.core.Request
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.IdempotencyKey
import redwingcross.request.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val CUSTOMER_HEADER = "X-Customer"
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
internal const val PRIORITY_HEADER = "X-Priority"
internal const val TIMEOUT_HEADER = "X-Timeout-Millis"

private const val MAX_ID_LENGTH = 128
private const val MAX_KEY_LENGTH = 255
private const val MAX_NAME_LENGTH = 255
private const val MAX_PRIORITY = 9
private val requestIdPattern = Regex("[A-Za-z0-9._:-]{1,$MAX_ID_LENGTH}")

/** Validated request headers of a caller, except the request id. */
internal class CallerHeaders(
    /** Name of the customer, not resolved yet. */
    val customer: String,
    /** 0 to 9, added to the customer's priority. */
    val priority: Int,
    /** Null if the caller sent no idempotency key. */
    val key: IdempotencyKey?,
    /** Maximum time to wait for the response; null applies the timeout of the service or model. */
    val timeout: Duration?,
)

/** The request id that the caller sent, or one from [newId] if it sent none. */
internal fun Request.requestId(newId: () -> RequestId): Checked<RequestId> {
    val sent = header(REQUEST_ID_HEADER) ?: return Checked.Valid(newId())
    return if (requestIdPattern.matches(sent)) {
        Checked.Valid(RequestId(sent))
    } else {
        Checked.Invalid(
            listOf(
                Finding("header $REQUEST_ID_HEADER", "must be 1 to $MAX_ID_LENGTH letters, digits or any of . _ : -"),
            ),
        )
    }
}

/** Validates the headers and reports all faults, not only the first one. */
internal fun Request.callerHeaders(): Checked<CallerHeaders> {
    val customer = header(CUSTOMER_HEADER).orEmpty()
    val keys = headerValues(IDEMPOTENCY_KEY_HEADER).map { it.orEmpty() }
    val priority = header(PRIORITY_HEADER)?.let { it.toIntOrNull() ?: -1 } ?: 0
    val timeout = header(TIMEOUT_HEADER)?.let { it.toLongOrNull() ?: 0L }
    val findings = listOfNotNull(
        Finding("header $CUSTOMER_HEADER", "must name the customer in at most $MAX_NAME_LENGTH characters")
            .takeIf { customer.isBlank() || customer.length > MAX_NAME_LENGTH },
        Finding("header $IDEMPOTENCY_KEY_HEADER", "must be 1 to $MAX_KEY_LENGTH visible ASCII characters, sent once")
            .takeUnless { keys.isEmpty() || keys.singleOrNull()?.isValidKey() == true },
        Finding("header $PRIORITY_HEADER", "must be a whole number from 0 to $MAX_PRIORITY")
            .takeIf { priority !in 0..MAX_PRIORITY },
        Finding("header $TIMEOUT_HEADER", "must be a positive whole number of milliseconds")
            .takeIf { timeout != null && timeout <= 0 },
    )
    return if (findings.isEmpty()) {
        val key = keys.singleOrNull()?.let(::IdempotencyKey)
        Checked.Valid(CallerHeaders(customer, priority, key, timeout?.milliseconds))
    } else {
        Checked.Invalid(findings)
    }
}

private fun String.isValidKey(): Boolean = length in 1..MAX_KEY_LENGTH && all { it in '!'..'~' }
