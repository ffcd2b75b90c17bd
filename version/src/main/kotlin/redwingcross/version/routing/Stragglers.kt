package redwingcross.version.routing

import redwingcross.request.BackendServer
import kotlin.time.Duration

private const val MINIMUM_SERVERS = 3

/**
 * Reduces the slots of servers whose median time to first token is far above the median of all [candidates]. Nothing is
 * reduced with fewer than three known times, because the median is meaningless then.
 */
internal fun limitStragglers(
    candidates: List<Candidate>,
    settings: RouterSettings,
    medianFirstByte: (BackendServer) -> Duration?,
): List<Candidate> {
    val medians = candidates
        .mapNotNull { candidate -> medianFirstByte(candidate.server)?.let { candidate.server to it } }
        .toMap()
    if (medians.size < MINIMUM_SERVERS) return candidates
    val threshold = medians.values.sorted()[(medians.size - 1) / 2] * settings.stragglerFactor
    return candidates.map { candidate ->
        val isStraggler = medians[candidate.server]?.let { it > threshold } ?: false
        val reduced = maxOf(1, candidate.slots / settings.stragglerDivisor)
        if (isStraggler && candidate.slots > 1) candidate.copy(slots = reduced) else candidate
    }
}
