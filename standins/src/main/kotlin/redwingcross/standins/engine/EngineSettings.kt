package redwingcross.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Behaviour of a stand-in engine. */
data class EngineSettings(
    /** Concurrency limit right after the engine became ready; one more request crashes it. */
    val coldLimit: Int = 2,
    /** Concurrency limit of a warm engine; one more request is refused with 503. */
    val warmLimit: Int = 16,
    /** Interval at which the concurrency limit of a cold engine doubles, up to [warmLimit]. */
    val rampStep: Duration = 5.seconds,
    val loadTime: Duration = 500.milliseconds,
    val firstToken: Duration = 50.milliseconds,
    val tokenInterval: Duration = 10.milliseconds,
    /** Tokens of a response if the request has no `max_tokens`. */
    val defaultTokens: Int = 32,
    /** Age of the load figures in reports. */
    val reportLag: Duration = Duration.ZERO,
    /** Whether orders with a fencing token lower than the highest one received are refused. */
    val checksFencing: Boolean = true,
    /** Longest time between writes to a stream; a keep-alive comment is sent when it has passed. */
    val keepAliveInterval: Duration = 2.seconds,
    /** Time for which a leader reuses the report of a member. */
    val memberReportLifetime: Duration = 250.milliseconds,
    /** Time without a response of a member after which the leader cuts its streams. */
    val memberLossTimeout: Duration = 3.seconds,
)
