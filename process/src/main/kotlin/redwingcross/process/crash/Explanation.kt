package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * Traits that explain [crashes], more than one if they always occur together. Requests that have all of [traits] are
 * refused from [blockedFrom] on: a request with only some of them may be sound. Each of several traits is listed as
 * blocked from [listedFrom] on, or never if it is null. The crashes in [proof] suffice to reach the same explanation.
 */
internal data class Explanation(
    val traits: Set<RequestTrait>,
    val crashes: List<EngineRun>,
    val attempts: List<AttemptId>,
    val blockedFrom: Duration,
    val listedFrom: Duration?,
    val proof: Set<EngineRun>,
) {
    fun block(trait: RequestTrait, now: Duration) = BlockedTrait(trait, crashes, attempts, now - blockedFrom)
}
