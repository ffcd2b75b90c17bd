package redwingcross.connection.http

import kotlin.time.Duration

/** What a connection of a caller waits for. */
internal enum class CallerWaitStage { NEXT_REQUEST, REST_OF_HEAD, REST_OF_BODY }

/** What to do with a connection that waits for its caller. */
internal enum class CallerWaitDecision { WAIT, CLOSE, REFUSE }

/**
 * The wait of a connection for its caller.
 *
 * The limits in force when the wait for a request began apply to the end of the request: a caller can't know of a
 * change in between, and a request may have been sent before the change and be read after it. A longer limit applies at
 * once.
 */
internal data class CallerWait(
    val stage: CallerWaitStage,
    /** Clock reading at the beginning of [stage]. */
    val stageStartedAt: Duration,
    /** Clock reading at the last received bytes, or at the end of the last response. */
    val lastActivityAt: Duration,
    /** Limits in force when the wait for the next request began. */
    val limits: CallerConnectionLimits,
) {
    /** Bytes were received under the limits [current]; the first ones of a request begin its head. */
    fun received(current: CallerConnectionLimits, now: Duration): CallerWait =
        if (stage == CallerWaitStage.NEXT_REQUEST) {
            CallerWait(CallerWaitStage.REST_OF_HEAD, now, now, effectiveLimits(current))
        } else {
            copy(lastActivityAt = now)
        }

    /** The head of a request is complete. */
    fun headReceived(now: Duration): CallerWait = copy(stage = CallerWaitStage.REST_OF_BODY, stageStartedAt = now)

    /** The last response had been written to the socket by the clock reading [at]. */
    fun responseSent(at: Duration): CallerWait = copy(lastActivityAt = maxOf(lastActivityAt, at))

    /** The response was sent and the next request had been received by then, at least in part. */
    fun forReceivedRequest(current: CallerConnectionLimits, now: Duration): CallerWait =
        forRequest(effectiveLimits(current), now)

    /** The longer of each limit of this wait and of [current]. */
    fun effectiveLimits(current: CallerConnectionLimits) = CallerConnectionLimits(
        maxOf(limits.bodyBytes, current.bodyBytes),
        maxOf(limits.headTimeout, current.headTimeout),
        maxOf(limits.idleTimeout, current.idleTimeout),
    )

    /** Decides whether the wait is over. Bytes that lie in the socket must have been read before it is ended. */
    fun decide(current: CallerConnectionLimits, now: Duration): CallerWaitDecision {
        val effective = effectiveLimits(current)
        val isIdle = now - lastActivityAt > effective.idleTimeout
        val isHeadLate = stage == CallerWaitStage.REST_OF_HEAD && now - stageStartedAt > effective.headTimeout
        return when {
            !isIdle && !isHeadLate -> CallerWaitDecision.WAIT
            stage == CallerWaitStage.NEXT_REQUEST -> CallerWaitDecision.CLOSE
            else -> CallerWaitDecision.REFUSE
        }
    }

    companion object {
        /** The wait for a first or next request begins. */
        fun forRequest(current: CallerConnectionLimits, now: Duration) =
            CallerWait(CallerWaitStage.NEXT_REQUEST, now, now, current)
    }
}
