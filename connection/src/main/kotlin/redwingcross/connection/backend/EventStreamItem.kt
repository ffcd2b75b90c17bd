package redwingcross.connection.backend

import okio.BufferedSource
import okio.ProtocolException

/** One item of a `text/event-stream` response. */
internal sealed interface EventStreamItem {
    /** A comment line, which engines send as a keep-alive. */
    data object Comment : EventStreamItem

    /** An event; [id] is null if the event has none. */
    data class Event(val id: String?, val data: String) : EventStreamItem
}

/** Reads the next item; throws [java.io.IOException] at the end of the stream or if a line exceeds [maxLineBytes]. */
internal fun BufferedSource.readEventStreamItem(maxLineBytes: Long): EventStreamItem {
    var id: String? = null
    var data: String? = null
    while (true) {
        val line = readUtf8LineStrict(maxLineBytes)
        when {
            line.startsWith(":") -> if (id == null && data == null) return EventStreamItem.Comment
            line.isEmpty() -> data?.let { return EventStreamItem.Event(id, it) }
            line.startsWith("id:") -> id = line.fieldValue("id:")
            line.startsWith("data:") -> {
                if (data != null) throw ProtocolException("event has more than one data line")
                data = line.fieldValue("data:")
            }
        }
    }
}

private fun String.fieldValue(field: String): String = removePrefix(field).removePrefix(" ")
