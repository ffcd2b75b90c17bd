package redwingcross.connection.http

import kotlin.time.Duration

/** Why a connection of a caller is closed from this side. */
enum class CallerCloseReason {
    /** The caller sent nothing for the idle time. */
    IDLE,

    /** The process stops: the connection waited for a request, or its last response has been sent. */
    STOP,

    /** A request was refused before it was served; the refusal has been sent. */
    REFUSED,

    /** A response was cut off, because it can't be completed. */
    ABORTED,

    /** A handler of the connection failed. */
    FAILED,

    /** The caller asked for it, or its version of HTTP ends a response with the connection. */
    CALLER,
}

/** What a connection holds of a request that has no response yet. */
enum class HeldRequest { NONE, PART, WHOLE }

/** One connection of a caller that is closed from this side. */
data class CallerClose(
    val reason: CallerCloseReason,
    /** Time since the last received bytes or the end of the last response. */
    val idle: Duration,
    /** Limit of the idle time. */
    val limit: Duration,
    /** What is held of a request without a response; for a refusal, the refused request. */
    val request: HeldRequest,
    /** Number of whole requests behind the one that was answered, aborted or refused last; they get no response. */
    val queued: Int,
    /** What failed, for [CallerCloseReason.FAILED]. */
    val cause: Throwable? = null,
)

/** Observes the closing of connections of callers from this side. */
typealias ObserveCallerClose = (CallerClose) -> Unit
