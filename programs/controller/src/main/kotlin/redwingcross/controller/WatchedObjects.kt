package redwingcross.controller

import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WatchEvent

/** The objects that a watch event contains; empty for events without objects. */
internal fun WatchEvent.objects(): List<StoredObject> = when (this) {
    is WatchEvent.Snapshot -> objects
    is WatchEvent.Changed -> listOf(value)
    is WatchEvent.Deleted, WatchEvent.Unchanged, is WatchEvent.Unavailable -> emptyList()
}
