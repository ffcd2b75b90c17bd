package redwingcross.standins.platform

import kotlinx.serialization.json.JsonElement

/** A version of an object, with a null [value] if it was deleted, and its [previous] version for stale reads. */
internal class TableObject(val name: String, val version: Long, val value: JsonElement?, val previous: TableObject?) {
    val isDeleted: Boolean get() = value == null
}

/** Outcome of a conditional write. */
internal sealed interface TableWrite {
    data class Done(val version: Long) : TableWrite

    data object Conflict : TableWrite
}

/** The objects of one kind. Each write increments the version of the kind and gives the object this version. */
internal class ObjectTable {
    private val objects = LinkedHashMap<String, TableObject>()

    /** Highest version of a deletion that is no longer kept. */
    private var compactedVersion = 0L

    var version: Long = 0
        private set

    fun read(name: String): TableObject? = objects[name]?.takeUnless { it.isDeleted }

    /** Reads the state before the newest write of this kind. */
    fun readStale(name: String): TableObject? = objects[name]
        ?.let { if (it.version == version) it.previous else it }
        ?.takeUnless { it.isDeleted }

    fun all(): List<TableObject> = objects.values.filterNot { it.isDeleted }

    fun allStale(): List<TableObject> = objects.keys.mapNotNull(::readStale)

    /** Objects written or deleted after [since], by version; null if deletions since then are no longer kept. */
    fun changes(since: Long): List<TableObject>? = when {
        since < compactedVersion || since > version -> null
        since == version -> emptyList()
        else -> objects.values.filter { it.version > since }
    }

    /** Writes the object if its version is [expected]; null requires that it does not exist. */
    fun put(name: String, expected: Long?, value: JsonElement): TableWrite =
        if (read(name)?.version == expected) store(name, value) else TableWrite.Conflict

    fun delete(name: String, expected: Long): TableWrite =
        if (read(name)?.version == expected) store(name, null).also { compactDeletions() } else TableWrite.Conflict

    private fun store(name: String, value: JsonElement?): TableWrite {
        val before = objects.remove(name)
        val previous = before?.let { TableObject(it.name, it.version, it.value, null) }
        objects[name] = TableObject(name, ++version, value, previous)
        return TableWrite.Done(version)
    }

    private fun compactDeletions() {
        if (objects.size <= MAX_DELETIONS) return
        val deletions = objects.values.filter { it.isDeleted }
        if (deletions.size <= MAX_DELETIONS) return
        deletions.take(deletions.size - MAX_DELETIONS / 2).forEach {
            objects.remove(it.name)
            compactedVersion = maxOf(compactedVersion, it.version)
        }
    }

    private companion object {
        /** Deletions kept for watches; a watch that lags further behind receives 410 and lists the kind again. */
        const val MAX_DELETIONS = 10_000
    }
}
