package redwingcross.standins.engine

import kotlinx.serialization.Serializable

/** How an attempt ended at the engine. */
@Serializable
enum class RunEnd { RUNNING, COMPLETED, CANCELLED, CUT, CRASHED, CALLER_GONE }

/** One attempt that the engine ran, as listed by `GET /standin/runs`. */
@Serializable
data class EngineRun(
    val attempt: String,
    val request: String,
    val group: String,
    val generation: Long,
    val vm: String,
    val bootId: String,
    /** Offset at which the stream started. */
    val resumeOffset: Int,
    /** Tokens sent. */
    val tokens: Int = 0,
    val end: RunEnd = RunEnd.RUNNING,
)
