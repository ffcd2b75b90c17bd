package redwingcross.standins.engine

import kotlinx.serialization.Serializable

/**
 * Body of `PUT /standin/faults`; null fields leave the current value unchanged. Faults that count requests apply to
 * `POST` requests only, so that the periodic report queries don't use them up.
 */
@Serializable
data class EngineFaults(
    /** Time from now during which the engine sends no response and no token. */
    val freezeMillis: Long? = null,
    /** Number of the next streams that are cut halfway. */
    val cutNext: Int? = null,
    /** Number of the next requests that are run but whose connection is closed without a response. */
    val loseAnswerNext: Int? = null,
    /** Delay before each request is handled. */
    val lateMillis: Long? = null,
    /** Number of the next requests that are not run and whose connection stays open without a response. */
    val silentNext: Int? = null,
    /** Number of the next streams that carry the response to another request. */
    val crossNext: Int? = null,
    /** True ends all runs and closes the connection of every request; false restarts the engine with a new boot id. */
    val down: Boolean? = null,
    /** True resets the concurrency limit to [EngineSettings.coldLimit] and keeps the boot id. */
    val turnCold: Boolean? = null,
    /** Factor by which the times to the first token and between tokens are multiplied. */
    val slowFactor: Double? = null,
)

/** The fault that is applied to one request. */
internal enum class RequestFault { NONE, LOSE_ANSWER, SILENT, CUT, CROSS }
