package redwingcross.connection.platform

import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonElement

/** A kind of objects in the platform's store, for example `placement`. */
@JvmInline
value class ObjectKind(val value: String) {
    override fun toString(): String = value
}

/** Kind and name of one object. */
data class ObjectKey(val kind: ObjectKind, val name: String) {
    override fun toString(): String = "$kind/$name"
}

/** Version that the platform assigned to an object; it increases with each write to the kind. */
@JvmInline
value class ObjectVersion(val value: Long)

/** An object as read from the platform. */
data class StoredObject(val key: ObjectKey, val version: ObjectVersion, val value: JsonElement)

/** A write that takes effect only if the object is at version [expected], or absent if [expected] is null. */
sealed interface ConditionalWrite {
    val key: ObjectKey
    val expected: ObjectVersion?

    data class Put(override val key: ObjectKey, override val expected: ObjectVersion?, val value: JsonElement) :
        ConditionalWrite

    data class Delete(override val key: ObjectKey, override val expected: ObjectVersion) : ConditionalWrite
}

/** Known result of a [ConditionalWrite]. */
sealed interface WriteAnswer {
    /** The write took effect and produced [version]. */
    data class Written(val version: ObjectVersion) : WriteAnswer

    /** The object was not at the expected version; nothing was written. */
    data object Conflict : WriteAnswer
}

/** An update from a watch: changes, the confirmation that nothing changed, or a failure. */
sealed interface WatchEvent {
    /** All objects of the kind; emitted first, and again after updates may have been missed. */
    data class Snapshot(val objects: List<StoredObject>) : WatchEvent

    /** The object was created or replaced. */
    data class Changed(val value: StoredObject) : WatchEvent

    data class Deleted(val key: ObjectKey) : WatchEvent

    /** The platform answered and nothing changed since the last event. */
    data object Unchanged : WatchEvent

    /** The watch received no usable response and may have missed updates; it retries. */
    data class Unavailable(val detail: String) : WatchEvent
}

/** Result of one call to the platform. */
sealed interface PlatformResult<out T> {
    /** The platform answered. */
    data class Answered<T>(val value: T) : PlatformResult<T>

    /** The call had no effect. */
    data class Unavailable(val detail: String) : PlatformResult<Nothing>

    /** A write may or may not have taken effect, now or later. Reads never have this result. */
    data class OutcomeUnknown(val detail: String) : PlatformResult<Nothing>
}

/** Reads one object; the value is null if it is absent. */
typealias ReadObject = suspend (ObjectKey) -> PlatformResult<StoredObject?>

/** Reads all objects of a kind. */
typealias ListObjects = suspend (ObjectKind) -> PlatformResult<List<StoredObject>>

/** Performs one conditional write. */
typealias WriteObject = suspend (ConditionalWrite) -> PlatformResult<WriteAnswer>

/** Watches a kind until the collector is cancelled. */
typealias WatchKind = (ObjectKind) -> Flow<WatchEvent>

/** The operations of the platform's store. */
class PlatformStore(val read: ReadObject, val list: ListObjects, val write: WriteObject, val watch: WatchKind)
