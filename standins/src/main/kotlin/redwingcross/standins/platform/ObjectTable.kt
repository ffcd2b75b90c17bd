package redwingcross.standins.platform

import kotlinx.serialization.json.JsonElement

/** An object as the platform holds it; [previous] is kept for one step so that a stale read can be answered. */
internal class TableObject(val name: String, val version: Long, val value: JsonElement?, val previous: TableObject?) {
    val isDeleted: Boolean get() = value == null
}

/** Outcome of a conditional write. */
internal sealed interface TableWrite {
    data class Done(val version: Long) : TableWrite

    data object Conflict : TableWrite
}

/** The objects of one kind. Each write raises the version of the kind, which becomes the version of the object. */
internal class ObjectTable {
    private val objects = LinkedHashMap<String, TableObject>()
    private var forgotten = 0L

    var version: Long = 0
        private set

    fun read(name: String): TableObject? = objects[name]?.takeUnless { it.isDeleted }

    fun readStale(name: String): TableObject? = objects[name]
        ?.let { if (it.version == version) it.previous else it }
        ?.takeUnless { it.isDeleted }

    fun all(): List<TableObject> = objects.values.filterNot { it.isDeleted }

    fun allStale(): List<TableObject> = objects.keys.mapNotNull(::readStale)

    /** Objects written or removed after [since], in the order of their versions; null if removals were forgotten. */
    fun changes(since: Long): List<TableObject>? = when {
        since < forgotten || since > version -> null
        since == version -> emptyList()
        else -> objects.values.filter { it.version > since }
    }

    /** [expected] null requires the object to be absent. */
    fun put(name: String, expected: Long?, value: JsonElement): TableWrite =
        if (read(name)?.version == expected) store(name, value) else TableWrite.Conflict

    fun delete(name: String, expected: Long): TableWrite =
        if (read(name)?.version == expected) store(name, null).also { forgetOldest() } else TableWrite.Conflict

    private fun store(name: String, value: JsonElement?): TableWrite {
        val before = objects.remove(name)
        val past = before?.let { TableObject(it.name, it.version, it.value, null) }
        objects[name] = TableObject(name, ++version, value, past)
        return TableWrite.Done(version)
    }

    private fun forgetOldest() {
        if (objects.size <= MAX_REMOVED) return
        val removed = objects.values.filter { it.isDeleted }
        if (removed.size <= MAX_REMOVED) return
        removed.take(removed.size - MAX_REMOVED / 2).forEach {
            objects.remove(it.name)
            forgotten = maxOf(forgotten, it.version)
        }
    }

    private companion object {
        /** Removals kept for watches; a watch that lags further behind gets 410 and lists the kind again. */
        const val MAX_REMOVED = 10_000
    }
}
