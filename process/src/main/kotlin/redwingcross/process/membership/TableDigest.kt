package redwingcross.process.membership

import redwingcross.request.ProcessName

/** Hashes of the parts of a member table, with which two processes exchange only the parts that differ. */
data class TableDigest(val parts: List<Int>) {
    internal fun differsAt(name: ProcessName, other: TableDigest): Boolean =
        partOf(name).let { parts.getOrNull(it) != other.parts.getOrNull(it) }

    companion object {
        /** With 16 parts, the digest stays below 100 bytes and one changed entry costs one sixteenth of the table. */
        const val PARTS = 16

        /** Members that are dead or left must not be in [members], because processes remove them at different times. */
        internal fun of(members: Collection<Member>): TableDigest {
            val parts = IntArray(PARTS)
            for (member in members) parts[partOf(member.name)] += hashOf(member)
            return TableDigest(parts.toList())
        }

        private fun hashOf(member: Member): Int =
            listOf(member.name.value, member.start.value, member.incarnation.value).hashCode()

        private fun partOf(name: ProcessName): Int = Math.floorMod(name.value.hashCode(), PARTS)
    }
}
