package redwingcross.connection.http

import io.github.oshai.kotlinlogging.KotlinLogging
import redwingcross.request.AttemptId

internal val httpLog = KotlinLogging.logger("redwingcross.connection.http")

/** A failed step in the handling of a request, which got a final answer; see [CallerExchange.guarded]. */
class RequestFailure(
    /** Null if the request was not decoded yet. */
    val attempt: AttemptId?,
    /** The first exception or error; failures of the clean-up after it are its suppressed exceptions. */
    val cause: Throwable,
) {
    /** Place in this project's code at which the failure became visible, such as `ForwardTask.kt:120`. */
    val place: String?
        get() = cause.stackTrace.firstOrNull { it.className.startsWith(OWN_PACKAGE) }
            ?.let { "${it.fileName}:${it.lineNumber}" }

    private companion object {
        const val OWN_PACKAGE = "redwingcross."
    }
}

/** Observes the failures in the handling of requests. */
typealias ObserveRequestFailure = (RequestFailure) -> Unit

/** Runs each of [steps], also if others throw; then throws the first failure with the others as suppressed ones. */
fun runEvery(vararg steps: () -> Unit) {
    val failures = steps.mapNotNull { runCatching(it).exceptionOrNull() }
    val first = failures.firstOrNull() ?: return
    failures.forEach(first::suppress)
    throw first
}

/** Adds [other] to the suppressed exceptions, unless it is the same exception. */
internal fun Throwable.suppress(other: Throwable) {
    if (other !== this) addSuppressed(other)
}
