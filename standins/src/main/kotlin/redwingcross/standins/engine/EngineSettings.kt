package redwingcross.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Behaviour of a stand-in engine. */
data class EngineSettings(
    /** Requests that the engine bears right after it became ready; one more makes it crash. */
    val coldLimit: Int = 2,
    /** Requests that a warm engine runs; one more is answered with 503. */
    val warmLimit: Int = 16,
    /** Time after which the limit of a cold engine doubles. */
    val rampStep: Duration = 5.seconds,
    val loadTime: Duration = 500.milliseconds,
    val firstToken: Duration = 50.milliseconds,
    val tokenInterval: Duration = 10.milliseconds,
    /** Tokens of an answer whose request has no `max_tokens`. */
    val defaultTokens: Int = 32,
    /** Age of the load figures in reports. */
    val reportLag: Duration = Duration.ZERO,
    val checksFencing: Boolean = true,
    /** Interval of comment lines in a stream. */
    val keepAlive: Duration = 2.seconds,
    /** Time for which a leader uses the report of a member again. */
    val memberReportLifetime: Duration = 250.milliseconds,
    /** Time without a member after which a leader breaks its streams off. */
    val memberLoss: Duration = 3.seconds,
)
