package redwingcross.controller

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.JsonElement
import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent
import redwingcross.connection.platform.WriteAnswer
import kotlin.time.Duration.Companion.milliseconds

/** A platform store in memory with conditional writes and watches. */
internal class MemoryStore {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private var newest = 0L
    var isDown = false

    val store =
        PlatformStore(
            read = { key -> answered { get(key) } },
            list = { kind -> answered { list(kind.value) } },
            write = { write -> answered { apply(write) } },
            watch = { kind ->
                flow {
                    var seen: List<StoredObject>? = null
                    while (true) {
                        val found = list(kind.value)
                        if (!isDown && found != seen) emit(WatchEvent.Snapshot(found))
                        if (!isDown) seen = found
                        delay(50.milliseconds)
                    }
                }
            },
        )

    @Synchronized
    fun get(key: ObjectKey): StoredObject? = objects[key]

    @Synchronized
    fun put(key: ObjectKey, value: JsonElement) {
        apply(ConditionalWrite.Put(key, objects[key]?.version, value))
    }

    @Synchronized
    private fun list(kind: String): List<StoredObject> = objects.values.filter { it.key.kind.value == kind }

    @Synchronized
    private fun apply(write: ConditionalWrite): WriteAnswer {
        if (objects[write.key]?.version != write.expected) return WriteAnswer.Conflict
        val version = ObjectVersion(++newest)
        when (write) {
            is ConditionalWrite.Put -> objects[write.key] = StoredObject(write.key, version, write.value)
            is ConditionalWrite.Delete -> objects.remove(write.key)
        }
        return WriteAnswer.Written(version)
    }

    private fun <T> answered(value: () -> T): PlatformResult<T> =
        if (isDown) PlatformResult.Unavailable("down") else PlatformResult.Answered(value())
}
