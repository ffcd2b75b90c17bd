package redwingcross.version.forwarding

import kotlin.random.Random

/** A group that could take a request. */
class GroupCandidate<Group>(
    val group: Group,
    /** Requests in flight at the group as far as this gateway knows, its own included. */
    val inFlight: Int,
    /** Time that the group needs relative to others; 1 is the average. */
    val slowness: Double,
)

/**
 * Chooses a group for a request. Answers the load of many gateways that place requests at the same time: what each
 * knows of the others is up to a second old, and if all of them send to the group that had the fewest requests then, it
 * is overrun until the next report, while the groups beside it stay idle.
 *
 * The choice is therefore random, in proportion to the free places. A small fleet has fresher reports and fewer others
 * that place requests meanwhile: there several groups are drawn and the least loaded one is taken. See Mitzenmacher,
 * "How useful is old information?", IEEE Transactions on Parallel and Distributed Systems 11 (2000).
 */
object GroupPlacement {
    /** Chooses among [candidates], each with [slots] places, for one of [gateways] gateways; null if there are none. */
    fun <Group> choose(
        candidates: List<GroupCandidate<Group>>,
        slots: Int,
        gateways: Int,
        random: Random,
    ): GroupCandidate<Group>? {
        if (candidates.size < 2) return candidates.firstOrNull()
        val weights = DoubleArray(candidates.size) { index -> weight(candidates[index], slots) }
        val compared = maxOf(1, COMPARED_BY_ONE_GATEWAY / gateways.coerceAtLeast(1))
        if (compared >= candidates.size) return candidates.minBy { expected(it, slots, random) }
        val total = weights.sum()
        return (0 until compared).map {
            candidates[sample(weights, total, random)]
        }.minBy { expected(it, slots, random) }
    }

    /** Free places, and a small part of a place for a group that has none, as its requests may have ended since. */
    private fun weight(candidate: GroupCandidate<*>, slots: Int): Double =
        (slots - candidate.inFlight).toDouble().coerceAtLeast(WEIGHT_WITHOUT_FREE_PLACE) / candidate.slowness

    private fun sample(weights: DoubleArray, total: Double, random: Random): Int {
        var left = random.nextDouble() * total
        for (index in weights.indices) {
            left -= weights[index]
            if (left < 0) return index
        }
        return weights.lastIndex
    }

    private fun expected(candidate: GroupCandidate<*>, slots: Int, random: Random): Double =
        (candidate.inFlight + 1 + random.nextDouble() * TIE_BREAK * slots) * candidate.slowness

    /** Groups that a single gateway would compare; a fleet of a few gateways compares nearly all of its groups. */
    private const val COMPARED_BY_ONE_GATEWAY = 120

    private const val WEIGHT_WITHOUT_FREE_PLACE = 0.1

    /** Random part of a group's expected load, in parts of its slots, so that equal groups are taken in turn. */
    private const val TIE_BREAK = 0.1
}
