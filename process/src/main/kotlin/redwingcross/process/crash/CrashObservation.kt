package redwingcross.process.crash

import redwingcross.request.RequestIdentity
import kotlin.time.Duration

/**
 * The requests that one gateway had at an engine when the engine ended. Empty [requests] still report the end. The
 * gateway's first connection to the engine was lost [age] ago: the end may be confirmed seconds later.
 */
data class CrashObservation(val run: EngineRun, val requests: List<RequestIdentity>, val age: Duration = Duration.ZERO)
