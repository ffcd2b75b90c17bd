package redwingcross.standins.engine

import kotlinx.serialization.Serializable

/** State of an attempt at the engine, or how it ended. */
@Serializable
enum class RunEnd { RUNNING, COMPLETED, CANCELLED, CUT, CRASHED, CALLER_GONE }

/** One attempt that the engine ran, as returned by `GET /standin/runs`. */
@Serializable
data class EngineRun(
    val attempt: String,
    val request: String,
    val group: String,
    val generation: Long,
    val vm: String,
    val bootId: String,
    /** Offset of the first token of the stream. */
    val resumeOffset: Int,
    /** Number of tokens sent. */
    val tokens: Int = 0,
    val end: RunEnd = RunEnd.RUNNING,
)
