package redwingcross.connection.platform

import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonElement

/** A kind of objects in the platform's store, for example `placement`. */
@JvmInline
value class ObjectKind(val value: String) {
    override fun toString(): String = value
}

/** Address of one object. */
data class ObjectKey(val kind: ObjectKind, val name: String) {
    override fun toString(): String = "$kind/$name"
}

/** Version that the platform gave to an object; it rises with each write to the kind. */
@JvmInline
value class ObjectVersion(val value: Long)

/** An object as read from the platform. */
data class StoredObject(val key: ObjectKey, val version: ObjectVersion, val value: JsonElement)

/** A write that takes effect only if the object is at the expected version; [expected] null means that it is absent. */
sealed interface ConditionalWrite {
    val key: ObjectKey
    val expected: ObjectVersion?

    data class Put(override val key: ObjectKey, override val expected: ObjectVersion?, val value: JsonElement) :
        ConditionalWrite

    data class Delete(override val key: ObjectKey, override val expected: ObjectVersion) : ConditionalWrite
}

/** The platform's definite answer to a [ConditionalWrite]. */
sealed interface WriteAnswer {
    /** The write took effect and produced [version]. */
    data class Written(val version: ObjectVersion) : WriteAnswer

    /** The object was not at the expected version; nothing was written. */
    data object Conflict : WriteAnswer
}

/** A change of an object seen by a watch, or the confirmation that nothing changed. */
sealed interface WatchEvent {
    /** Every object of the kind, sent first and after a gap. */
    data class Snapshot(val objects: List<StoredObject>) : WatchEvent

    data class Changed(val value: StoredObject) : WatchEvent

    data class Deleted(val key: ObjectKey) : WatchEvent

    /** The platform answered and nothing changed since the last event. */
    data object Unchanged : WatchEvent

    /** The platform did not answer; the watch goes on trying. */
    data class Unavailable(val detail: String) : WatchEvent
}

/** Outcome of one call to the platform. */
sealed interface PlatformResult<out T> {
    data class Answered<T>(val value: T) : PlatformResult<T>

    /** The call had no effect. */
    data class Unavailable(val detail: String) : PlatformResult<Nothing>

    /** A write may or may not have taken effect, now or later. Reads never have this result. */
    data class OutcomeUnknown(val detail: String) : PlatformResult<Nothing>
}

/** Reads one object; null when it is absent. */
typealias ReadObject = suspend (ObjectKey) -> PlatformResult<StoredObject?>

/** Reads all objects of a kind. */
typealias ListObjects = suspend (ObjectKind) -> PlatformResult<List<StoredObject>>

/** Carries out one conditional write. */
typealias WriteObject = suspend (ConditionalWrite) -> PlatformResult<WriteAnswer>

/** Follows a kind until the collector is cancelled. */
typealias WatchKind = (ObjectKind) -> Flow<WatchEvent>

/** The calls that the programs make to the platform's store. */
class PlatformStore(val read: ReadObject, val list: ListObjects, val write: WriteObject, val watch: WatchKind)
