package redwingcross.request.stream

/** Whole events of a stream, as bytes that can be passed on. */
class EventBatch(val bytes: ByteArray, val events: Int, val lastId: Long?, val firstId: Long?)

/**
 * Cuts the bytes of an event stream after its last complete event. The rest is kept until more arrives, so that what
 * is passed on can be continued by another back end.
 */
class EventSplitter {
    private var pending = ByteArray(0)

    /** Bytes of an event that is not complete yet. */
    val pendingBytes: Int get() = pending.size

    /** Adds [bytes] and returns every event that is complete now; null if there is none. */
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

    /** Forgets the incomplete event, because another back end sends it again. */
    fun reset() {
        pending = EMPTY
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (index in bytes.size - 1 downTo 1) {
            if (bytes[index] != NEWLINE) continue
            if (bytes[index - 1] == NEWLINE) return index + 1
            val carriageReturn = index >= CRLF_PAIR && bytes[index - 1] == RETURN && bytes[index - 2] == NEWLINE
            if (carriageReturn) return index + 1
        }
        return 0
    }

    private fun batch(bytes: ByteArray): EventBatch {
        val tally = EventTally()
        var lineStart = 0
        for (index in bytes.indices) {
            if (bytes[index] != NEWLINE) continue
            val lineEnd = if (index > lineStart && bytes[index - 1] == RETURN) index - 1 else index
            if (lineEnd == lineStart) tally.blankLine() else tally.line(eventId(bytes, lineStart, lineEnd))
            lineStart = index + 1
        }
        return EventBatch(bytes, tally.events, tally.lastId, tally.firstId)
    }

    /** Counts events and their ids line by line. */
    private class EventTally {
        var events = 0
        var firstId: Long? = null
        var lastId: Long? = null
        private var hasContent = false

        fun line(id: Long?) {
            hasContent = true
            if (id == null) return
            if (firstId == null) firstId = id
            lastId = id
        }

        fun blankLine() {
            if (hasContent) events++
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
        const val NEWLINE: Byte = 10
        const val RETURN: Byte = 13
        const val CRLF_PAIR = 2
    }
}
