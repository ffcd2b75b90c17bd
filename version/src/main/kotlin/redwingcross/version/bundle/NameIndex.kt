package redwingcross.version.bundle

/** Result of looking up a name. */
sealed interface NameLookup {
    data class Found(val canonical: String) : NameLookup

    /** No scheme contains the name. */
    data object Unknown : NameLookup

    /** The name refers to different items in different schemes; it must be written as `scheme:name`. */
    data class Ambiguous(val meanings: List<String>) : NameLookup
}

/** The name of one item in one scheme, with the item's canonical name. */
internal data class SchemeName(val scheme: String, val name: String, val canonical: String, val kind: NameKind)

/**
 * Resolves the names of all schemes to canonical names. A name may be written with or without its scheme, as
 * `scheme:name`. A name without a scheme that refers to several items is ambiguous, even if it is the canonical name of
 * one of them.
 */
class NameIndex private constructor(private val meanings: Map<Pair<NameKind, String>, Set<String>>) {
    /** Looks up [name] among the items of [kind]. */
    fun lookup(kind: NameKind, name: String): NameLookup {
        val found = meanings[kind to name].orEmpty()
        return when (found.size) {
            0 -> NameLookup.Unknown
            1 -> NameLookup.Found(found.single())
            else -> NameLookup.Ambiguous(found.sorted())
        }
    }

    /** Returns the canonical name for [name], or null if it is unknown or ambiguous. */
    fun canonical(kind: NameKind, name: String): String? = (lookup(kind, name) as? NameLookup.Found)?.canonical

    /** All names that differ from the canonical name, one entry for each item that they refer to. */
    internal fun aliases(): List<Alias> = meanings
        .flatMap { (key, canonical) -> canonical.map { Alias(key.second, it, key.first) } }
        .filter { it.alias != it.canonical }
        .sortedWith(compareBy({ it.kind }, { it.alias }, { it.canonical }))

    companion object {
        /** Builds the index from the canonical names and aliases of [bundle]. */
        fun of(bundle: Bundle): NameIndex {
            val canonical = bundle.zones.map { NameKind.ZONE to it.value } +
                bundle.vms.map { NameKind.VM to it.vm.value } +
                bundle.models.map { NameKind.SERVICE to it.model.value } +
                bundle.services.map { NameKind.SERVICE to it.service.value } +
                bundle.customers.map { NameKind.CUSTOMER to it.customer.value }
            val canonicalEntries = canonical.map { (kind, name) -> (kind to name) to name }
            val aliasEntries = bundle.aliases.map { (it.kind to it.alias) to it.canonical }
            return of(canonicalEntries + aliasEntries)
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
