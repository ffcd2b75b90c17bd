package redwingcross.request.stream

/**
 * Complete events of a stream as received. [events] is the number of events; [firstId] and [lastId] are the first and
 * the last event id in [bytes], or null if there is none. [startsWithId] is false if the first event has no id.
 * Comments are not events.
 */
class EventBatch(
    val bytes: ByteArray,
    val events: Int,
    val lastId: Long?,
    val firstId: Long?,
    val startsWithId: Boolean,
)

/**
 * Splits an event stream after its last complete event and buffers the rest until more bytes are received. Because only
 * complete events are passed on, another back end can resume the stream after any of them.
 */
class EventSplitter {
    private var pending = ByteArray(0)

    /** Number of buffered bytes, which belong to an incomplete event. */
    val pendingBytes: Int get() = pending.size

    /** Adds received [bytes] and returns the events that are now complete, or null if there are none. */
    fun accept(bytes: ByteArray): EventBatch? {
        val all = if (pending.isEmpty()) bytes else pending + bytes
        val end = endOfLastEvent(all)
        if (end == 0) {
            pending = all
            return null
        }
        pending = if (end == all.size) EMPTY else all.copyOfRange(end, all.size)
        return batch(if (end == all.size) all else all.copyOf(end))
    }

    /**
     * Discards the incomplete event. Called before another back end resumes the stream, as it sends that event again.
     */
    fun reset() {
        pending = EMPTY
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (index in bytes.size - 1 downTo 1) {
            if (bytes[index] != NEWLINE) continue
            if (bytes[index - 1] == NEWLINE) return index + 1
            val isBlankCrlf = index >= CRLF_LENGTH && bytes[index - 1] == CARRIAGE_RETURN && bytes[index - 2] == NEWLINE
            if (isBlankCrlf) return index + 1
        }
        return 0
    }

    private fun batch(bytes: ByteArray): EventBatch {
        val counter = EventCounter()
        var lineStart = 0
        for (index in bytes.indices) {
            if (bytes[index] != NEWLINE) continue
            val lineEnd = if (index > lineStart && bytes[index - 1] == CARRIAGE_RETURN) index - 1 else index
            when {
                lineEnd == lineStart -> counter.blankLine()
                bytes[lineStart] != COMMENT_START -> counter.line(eventId(bytes, lineStart, lineEnd))
                else -> Unit
            }
            lineStart = index + 1
        }
        return EventBatch(bytes, counter.events, counter.lastId, counter.firstId, counter.startsWithId)
    }

    /** Counts the events line by line and records their ids. */
    private class EventCounter {
        var events = 0
        var firstId: Long? = null
        var lastId: Long? = null
        var startsWithId = true
            private set
        private var hasContent = false

        fun line(id: Long?) {
            hasContent = true
            if (id == null) return
            if (firstId == null) firstId = id
            lastId = id
        }

        fun blankLine() {
            if (hasContent) {
                events++
                if (firstId == null) startsWithId = false
            }
            hasContent = false
        }
    }

    private fun eventId(bytes: ByteArray, start: Int, end: Int): Long? {
        if (end - start < ID_FIELD.size) return null
        if (ID_FIELD.indices.any { bytes[start + it] != ID_FIELD[it] }) return null
        return String(
            bytes,
            start + ID_FIELD.size,
            end - start - ID_FIELD.size,
            Charsets.US_ASCII,
        ).trim().toLongOrNull()
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val ID_FIELD = "id:".toByteArray(Charsets.US_ASCII)
        const val COMMENT_START: Byte = 58
        const val NEWLINE: Byte = 10
        const val CARRIAGE_RETURN: Byte = 13
        const val CRLF_LENGTH = 2
    }
}
