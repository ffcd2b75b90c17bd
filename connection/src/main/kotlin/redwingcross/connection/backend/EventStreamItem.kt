package redwingcross.connection.backend

import okio.BufferedSource
import okio.ProtocolException

/** One item of a `text/event-stream` answer. */
internal sealed interface EventStreamItem {
    data object Comment : EventStreamItem

    data class Event(val id: String?, val data: String) : EventStreamItem
}

/** Reads the next item; throws an [java.io.IOException] at the end of the stream or at a line above [maxLineBytes]. */
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
                if (data != null) throw ProtocolException("event with more than one line of data")
                data = line.fieldValue("data:")
            }
        }
    }
}

private fun String.fieldValue(field: String): String = removePrefix(field).removePrefix(" ")
