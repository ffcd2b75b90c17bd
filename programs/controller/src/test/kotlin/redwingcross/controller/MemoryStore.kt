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

/** In-memory platform store with conditional writes, and watches that poll it every 50 ms. */
internal class MemoryStore {
    private val objects = LinkedHashMap<ObjectKey, StoredObject>()
    private var latestVersion = 0L

    /** While true, reads, lists and writes give [PlatformResult.Unavailable], and watches emit nothing. */
    var isDown = false

    val store =
        PlatformStore(
            read = { key -> resultOf { get(key) } },
            list = { kind -> resultOf { list(kind.value) } },
            write = { write -> resultOf { apply(write) } },
            watch = { kind ->
                flow {
                    var emitted: List<StoredObject>? = null
                    while (true) {
                        val found = list(kind.value)
                        if (!isDown && found != emitted) emit(WatchEvent.Snapshot(found))
                        if (!isDown) emitted = found
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
        val version = ObjectVersion(++latestVersion)
        when (write) {
            is ConditionalWrite.Put -> objects[write.key] = StoredObject(write.key, version, write.value)
            is ConditionalWrite.Delete -> objects.remove(write.key)
        }
        return WriteAnswer.Written(version)
    }

    private fun <T> resultOf(value: () -> T): PlatformResult<T> =
        if (isDown) PlatformResult.Unavailable("unavailable") else PlatformResult.Answered(value())
}
