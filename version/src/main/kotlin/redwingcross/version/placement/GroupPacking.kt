package redwingcross.version.placement

import redwingcross.request.ServiceName
import redwingcross.version.bundle.FabricDomain

/** Groups of one model that are still to be formed. */
internal data class MissingGroups(
    val model: ServiceName,
    val size: Int,
    val count: Int,
    /** Fabric domains in which they can be formed; empty means all. */
    val domains: Set<FabricDomain> = emptySet(),
)

/** Number of free VMs in a fabric domain. */
internal data class FreeDomain(val domain: FabricDomain, val free: Int, val acceleratorsPerVm: Int)

/** Number of groups of a model to form in a domain. */
internal data class PackedGroups(val domain: FabricDomain, val model: ServiceName, val count: Int)

// With more states than this the exact search could delay the placement; a greedy packing is used instead.
private const val MAX_SEARCH_STATES = 20_000L

/**
 * Distributes new groups over fabric domains so that they use as many accelerators as possible. Among equal packings it
 * prefers the one in which most groups have a spare VM in their domain.
 *
 * All models are packed together, because packing one model alone can leave so few VMs free in a domain that no other
 * group fits.
 */
internal class GroupPacking(wanted: List<MissingGroups>, domains: List<FreeDomain>) {
    private val wanted = wanted.filter {
        it.count > 0 && it.size > 0
    }.sortedWith(compareBy({ -it.size }, { it.model.value }))
    private val domains = domains.filter { it.free > 0 }.sortedBy { it.domain.value }

    /** Value of a packing: accelerators in use, then groups with a spare VM in their domain. */
    private data class Score(val accelerators: Int, val spared: Int) : Comparable<Score> {
        override fun compareTo(other: Score): Int = compareValuesBy(this, other, { it.accelerators }, { it.spared })

        operator fun plus(other: Score) = Score(accelerators + other.accelerators, spared + other.spared)
    }

    /** The best packing of a domain and all following ones; [choice] holds the domain's group count of each model. */
    private class BestChoice(val value: Score, val choice: List<Int>?)

    private val memo = HashMap<Pair<Int, List<Int>>, BestChoice>()

    /** The groups to form in each domain; exact for small inputs, greedy otherwise. */
    fun pack(): List<PackedGroups> {
        val states = wanted.fold(domains.size.toLong()) { product, groups -> product * (groups.count + 1) }
        return if (states <= MAX_SEARCH_STATES) packExactly() else packGreedily()
    }

    private fun packExactly(): List<PackedGroups> {
        var left = wanted.map { it.count }
        return domains.indices.flatMap { index ->
            val choice = best(index, left).choice.orEmpty()
            left = left.zip(choice) { have, taken -> have - taken }
            packed(index, choice)
        }
    }

    private fun packed(index: Int, choice: List<Int>): List<PackedGroups> =
        choice.withIndex().filter { it.value > 0 }.map { (model, count) ->
            PackedGroups(domains[index].domain, wanted[model].model, count)
        }

    private fun best(index: Int, left: List<Int>): BestChoice {
        if (index == domains.size) return BestChoice(Score(0, 0), null)
        return memo.getOrPut(index to left) {
            choices(domains[index], left)
                .map { choice ->
                    val rest = best(index + 1, left.zip(choice) { have, taken -> have - taken })
                    BestChoice(valueOf(domains[index], choice) + rest.value, choice)
                }.maxWith { first, second -> first.value.compareTo(second.value) }
        }
    }

    private fun valueOf(domain: FreeDomain, choice: List<Int>): Score {
        val vms = choice.withIndex().sumOf { (model, count) -> wanted[model].size * count }
        return Score(vms * domain.acceleratorsPerVm, if (vms < domain.free) choice.sum() else 0)
    }

    /** Every combination of group counts by model that fits into the domain. */
    private fun choices(domain: FreeDomain, left: List<Int>, from: Int = 0, free: Int = domain.free): List<List<Int>> {
        if (from == wanted.size) return listOf(emptyList())
        val model = wanted[from]
        val most = if (model.canUse(domain)) minOf(left[from], free / model.size) else 0
        return (0..most).flatMap { count ->
            choices(domain, left, from + 1, free - count * model.size).map { listOf(count) + it }
        }
    }

    /** Packs the largest groups first, each into the domain with the fewest free VMs that suffice. */
    private fun packGreedily(): List<PackedGroups> {
        val free = domains.associate { it.domain to it.free }.toMutableMap()
        return wanted.flatMap { model ->
            (1..model.count).mapNotNull {
                domains
                    .filter { model.canUse(it) && free.getValue(it.domain) >= model.size }
                    .minByOrNull { free.getValue(it.domain) }
                    ?.let { fit ->
                        free[fit.domain] = free.getValue(fit.domain) - model.size
                        PackedGroups(fit.domain, model.model, 1)
                    }
            }
        }
    }

    private fun MissingGroups.canUse(domain: FreeDomain) = domains.isEmpty() || domain.domain in domains
}
