package redwingcross.version.placement

import redwingcross.request.ServiceName
import redwingcross.version.bundle.FabricDomain

/** Groups of one model that are wanted and not yet formed. */
internal data class WantedGroups(
    val model: ServiceName,
    val size: Int,
    val count: Int,
    /** Domains that may hold them; empty means all. */
    val domains: Set<FabricDomain> = emptySet(),
)

/** VMs of a fabric domain that are free. */
internal data class FreeDomain(val domain: FabricDomain, val free: Int, val acceleratorsPerVm: Int)

/** Groups of a model to form in a domain. */
internal data class Packed(val domain: FabricDomain, val model: ServiceName, val count: Int)

// Above this number of states the exact search could hold up the placement; a greedy packing is used instead.
private const val MAX_SEARCH_STATES = 20_000L

/**
 * Spreads wanted groups over fabric domains so that the groups use as many accelerators as possible; among equal
 * packings, as many groups as possible have a spare in their domain.
 *
 * All models are packed together, because filling a domain for one model alone can leave a rest that is too small for
 * every other one.
 */
internal class GroupPacking(wanted: List<WantedGroups>, domains: List<FreeDomain>) {
    private val wanted = wanted.filter {
        it.count > 0 && it.size > 0
    }.sortedWith(compareBy({ -it.size }, { it.model.value }))
    private val domains = domains.filter { it.free > 0 }.sortedBy { it.domain.value }

    private data class Value(val accelerators: Int, val spared: Int) : Comparable<Value> {
        override fun compareTo(other: Value): Int = compareValuesBy(this, other, { it.accelerators }, { it.spared })

        operator fun plus(other: Value) = Value(accelerators + other.accelerators, spared + other.spared)
    }

    private class Best(val value: Value, val choice: List<Int>?)

    private val known = HashMap<Pair<Int, List<Int>>, Best>()

    fun pack(): List<Packed> {
        val states = wanted.fold(domains.size.toLong()) { product, groups -> product * (groups.count + 1) }
        return if (states <= MAX_SEARCH_STATES) packExactly() else packGreedily()
    }

    private fun packExactly(): List<Packed> {
        var left = wanted.map { it.count }
        return domains.indices.flatMap { index ->
            val choice = best(index, left).choice.orEmpty()
            left = left.zip(choice) { have, taken -> have - taken }
            packed(index, choice)
        }
    }

    private fun packed(index: Int, choice: List<Int>): List<Packed> =
        choice.withIndex().filter { it.value > 0 }.map { (model, count) ->
            Packed(domains[index].domain, wanted[model].model, count)
        }

    private fun best(index: Int, left: List<Int>): Best {
        if (index == domains.size) return Best(Value(0, 0), null)
        return known.getOrPut(index to left) {
            choices(domains[index], left)
                .map { choice ->
                    val rest = best(index + 1, left.zip(choice) { have, taken -> have - taken })
                    Best(valueOf(domains[index], choice) + rest.value, choice)
                }.maxWith { first, second -> first.value.compareTo(second.value) }
        }
    }

    private fun valueOf(domain: FreeDomain, choice: List<Int>): Value {
        val vms = choice.withIndex().sumOf { (model, count) -> wanted[model].size * count }
        return Value(vms * domain.acceleratorsPerVm, if (vms < domain.free) choice.sum() else 0)
    }

    /** Every vector of group counts that fits into the domain. */
    private fun choices(domain: FreeDomain, left: List<Int>, from: Int = 0, free: Int = domain.free): List<List<Int>> {
        if (from == wanted.size) return listOf(emptyList())
        val model = wanted[from]
        val most = if (model.mayUse(domain)) minOf(left[from], free / model.size) else 0
        return (0..most).flatMap { count ->
            choices(domain, left, from + 1, free - count * model.size).map { listOf(count) + it }
        }
    }

    /** Largest groups first, each into the domain with the smallest sufficient rest. */
    private fun packGreedily(): List<Packed> {
        val free = domains.associate { it.domain to it.free }.toMutableMap()
        return wanted.flatMap { model ->
            (1..model.count).mapNotNull {
                domains
                    .filter { model.mayUse(it) && free.getValue(it.domain) >= model.size }
                    .minByOrNull { free.getValue(it.domain) }
                    ?.let { fit ->
                        free[fit.domain] = free.getValue(fit.domain) - model.size
                        Packed(fit.domain, model.model, 1)
                    }
            }
        }
    }

    private fun WantedGroups.mayUse(domain: FreeDomain) = domains.isEmpty() || domain.domain in domains
}
