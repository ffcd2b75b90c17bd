package redwingcross.version.bundle

/** What a name in some scheme refers to. */
sealed interface NameLookup {
    data class Found(val canonical: String) : NameLookup

    data object Unknown : NameLookup

    /** The name means different things in different schemes; it must be written `scheme:name`. */
    data class Ambiguous(val meanings: List<String>) : NameLookup
}

/** One name of one thing in one scheme. */
internal data class SchemeName(val scheme: String, val name: String, val canonical: String, val kind: NameKind)

/**
 * Resolves names of every scheme to canonical names. A name may be written bare or as `scheme:name`. A bare name with
 * one meaning in all schemes resolves; one with several meanings never does, not even to the canonical one.
 */
class NameIndex private constructor(private val meanings: Map<Pair<NameKind, String>, Set<String>>) {
    /** Looks up [name] among the things of [kind]. */
    fun lookup(kind: NameKind, name: String): NameLookup {
        val found = meanings[kind to name].orEmpty()
        return when (found.size) {
            0 -> NameLookup.Unknown
            1 -> NameLookup.Found(found.single())
            else -> NameLookup.Ambiguous(found.sorted())
        }
    }

    /** Canonical name of [name], or null when it is unknown or ambiguous. */
    fun canonical(kind: NameKind, name: String): String? = (lookup(kind, name) as? NameLookup.Found)?.canonical

    /** Every name that is not canonical itself, with each of its meanings, for the accepted bundle. */
    internal fun aliases(): List<Alias> = meanings
        .flatMap { (key, canonical) -> canonical.map { Alias(key.second, it, key.first) } }
        .filter { it.alias != it.canonical }
        .sortedWith(compareBy({ it.kind }, { it.alias }, { it.canonical }))

    companion object {
        /** The names of an accepted bundle. */
        fun of(bundle: Bundle): NameIndex {
            val canonical = bundle.zones.map { NameKind.ZONE to it.value } +
                bundle.vms.map { NameKind.VM to it.vm.value } +
                bundle.models.map { NameKind.SERVICE to it.model.value } +
                bundle.services.map { NameKind.SERVICE to it.service.value } +
                bundle.customers.map { NameKind.CUSTOMER to it.customer.value }
            val own = canonical.map { (kind, name) -> (kind to name) to name }
            val others = bundle.aliases.map { (it.kind to it.alias) to it.canonical }
            return of(own + others)
        }

        internal fun ofSchemes(names: List<SchemeName>): NameIndex = of(
            names.flatMap {
                listOf((it.kind to it.name) to it.canonical, (it.kind to "${it.scheme}:${it.name}") to it.canonical)
            },
        )

        private fun of(entries: List<Pair<Pair<NameKind, String>, String>>): NameIndex =
            NameIndex(entries.groupBy({ it.first }, { it.second }).mapValues { it.value.toSet() })
    }
}
