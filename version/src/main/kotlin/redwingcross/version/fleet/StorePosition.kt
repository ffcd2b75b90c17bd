package redwingcross.version.fleet

import kotlinx.serialization.Serializable

/**
 * Counts how often the platform's store has come back from an older copy of its data. The changes between the copy and
 * the restore are lost, and their revisions are given out again for other changes.
 */
@Serializable
@JvmInline
value class StoreEra(val value: Long) : Comparable<StoreEra> {
    /** Whether a store can be in this era; others come from a damaged message. */
    val isPlausible: Boolean get() = value in 0..MAXIMUM

    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    companion object {
        /** The era of a store that states none. */
        val FIRST: StoreEra = StoreEra(0)

        /**
         * More restores than a store has in its life. An era has 10,000 lease epochs with 100,000 group epochs each, so
         * group epochs stay below 2^53, which they reach at era 9,007,199; JSON numbers above it may lose digits.
         */
        const val MAXIMUM: Long = 9_000_000
    }
}

/** Counts all changes in the store within one era; an object's version is the revision of its last change. */
@Serializable
@JvmInline
value class StoreRevision(val value: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)
}

/**
 * A point in the history of the store. A revision alone neither orders two points nor identifies a change, because a
 * later era uses the revisions of an earlier one again.
 */
@Serializable
data class StorePosition(val era: StoreEra, val revision: StoreRevision) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    companion object {
        /** Before the first change. */
        val START: StorePosition = StorePosition(StoreEra.FIRST, StoreRevision(0))

        /** The point at [revision] in the era of a store that states none. */
        fun inFirstEra(revision: Long): StorePosition = StorePosition(StoreEra.FIRST, StoreRevision(revision))
    }
}
