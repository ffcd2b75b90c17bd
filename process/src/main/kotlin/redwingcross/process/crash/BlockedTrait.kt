package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * A [trait] that no engine may receive, with the [crashes] and [attempts] that accuse it. It is blocked since [age].
 */
data class BlockedTrait(
    val trait: RequestTrait,
    val crashes: List<EngineRun>,
    val attempts: List<AttemptId>,
    val age: Duration,
)
