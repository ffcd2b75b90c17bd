package redwingcross.version.routing

import redwingcross.request.BackendServer
import kotlin.time.Duration

private const val ENOUGH_FOR_MEDIAN = 3

/**
 * Reduces the slots of servers whose usual time to first token is far above the median of the [candidates]. With fewer
 * than three known times there is no median to speak of, and nothing is reduced.
 */
internal fun limitStragglers(
    candidates: List<Candidate>,
    settings: RouterSettings,
    usualFirstByte: (BackendServer) -> Duration?,
): List<Candidate> {
    val usual = candidates.mapNotNull { candidate -> usualFirstByte(candidate.server)?.let { candidate.server to it } }
        .toMap()
    if (usual.size < ENOUGH_FOR_MEDIAN) return candidates
    val threshold = usual.values.sorted()[(usual.size - 1) / 2] * settings.stragglerFactor
    return candidates.map { candidate ->
        val isStraggler = usual[candidate.server]?.let { it > threshold } ?: false
        val reduced = maxOf(1, candidate.slots / settings.stragglerDivisor)
        if (isStraggler && candidate.slots > 1) candidate.copy(slots = reduced) else candidate
    }
}
