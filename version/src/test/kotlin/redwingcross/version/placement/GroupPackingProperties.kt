package redwingcross.version.placement

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import redwingcross.request.ServiceName
import redwingcross.version.bundle.FabricDomain
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against packings that leave VMs unused although another packing would use them. */
class GroupPackingProperties {
    @Provide
    fun free(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 9).list().ofMinSize(1).ofMaxSize(3)

    @Provide
    fun sizes(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 5).list().ofMinSize(1).ofMaxSize(3)

    @Property(seed = "5410", tries = 300)
    fun `a packing fits into the domains and uses as many accelerators as any other packing`(
        @ForAll("free") free: List<Int>,
        @ForAll("sizes") sizes: List<Int>,
        @ForAll @IntRange(max = 2) count: Int,
    ) {
        val domains = free.mapIndexed { index, vms -> FreeDomain(FabricDomain("d$index"), vms, 1) }
        val wanted = sizes.mapIndexed { index, size -> MissingGroups(ServiceName("m$index"), size, count) }
        val packed = GroupPacking(wanted, domains).pack()
        val sizeOf = wanted.associate { it.model to it.size }
        domains.forEach { domain ->
            val used = packed.filter { it.domain == domain.domain }.sumOf { it.count * sizeOf.getValue(it.model) }
            assertTrue(used <= domain.free, "$packed does not fit into $domain")
        }
        wanted.forEach { model -> assertTrue(packed.filter { it.model == model.model }.sumOf { it.count } <= count) }
        assertEquals(
            most(free, sizes.flatMap { size -> List(count) { size } }),
            packed.sumOf {
                it.count *
                    sizeOf.getValue(it.model)
            },
        )
    }

    /** Maximum number of VMs in use, found by exhaustive search; domains with equal free counts are tried once. */
    private fun most(free: List<Int>, groups: List<Int>): Int {
        val size = groups.firstOrNull() ?: return 0
        val rest = groups.drop(1)
        val taken =
            free.indices.filter { free[it] >= size }.distinctBy { free[it] }.map { index ->
                size + most(free.mapIndexed { at, vms -> if (at == index) vms - size else vms }, rest)
            }
        return maxOf(most(free, rest), taken.maxOrNull() ?: 0)
    }
}
