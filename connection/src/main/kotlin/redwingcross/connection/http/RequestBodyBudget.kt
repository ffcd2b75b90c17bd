package redwingcross.connection.http

import java.io.ByteArrayOutputStream

/**
 * Bounds the bytes of request bodies that a process holds, from the head of a request to the end of its response.
 *
 * Back ends that read slowly keep bodies in memory for seconds. Without a bound they use up the heap and the direct
 * memory, and the event loop then sleeps in each allocation. Not thread-safe: used on one event loop.
 */
class RequestBodyBudget(
    /** Largest number of bytes held at a time. */
    val maximumBytes: Long = DEFAULT_MAXIMUM_BYTES,
) {
    /** Largest body that ever fits. The rest is left to bodies of at most [SMALL_BODY_BYTES] of other requests. */
    private val largestBodyBytes: Long = maximumBytes - maximumBytes / SMALL_BODIES_DIVISOR

    /** Bytes held at present. */
    var heldBytes = 0L
        private set

    /** Returns the largest body that is accepted under [limits], in bytes. */
    internal fun largestBody(limits: CallerConnectionLimits): Long = minOf(limits.bodyBytes, largestBodyBytes)

    private fun fits(bodyBytes: Long, addedBytes: Long): Boolean {
        val bound = if (bodyBytes <= SMALL_BODY_BYTES) maximumBytes else largestBodyBytes
        return heldBytes + addedBytes <= bound
    }

    /** The part of the budget that one request holds. */
    internal inner class Reservation {
        private var bytes = 0L

        /** Extends the reservation to [total] bytes; returns false and changes nothing if the budget lacks them. */
        fun extendTo(total: Long): Boolean {
            val added = total - bytes
            if (added <= 0) return true
            if (!fits(total, added)) return false
            bytes = total
            heldBytes += added
            return true
        }

        /** Returns all bytes to the budget. Has no effect when called again. */
        fun release() {
            heldBytes -= bytes
            bytes = 0
        }
    }

    companion object {
        /**
         * A quarter of the heap (96 MB) and half of the direct memory (48 MB) of an edge process. Bodies are copied to
         * direct memory in parts, so both stay below their limits even if all bodies wait for back ends.
         */
        const val DEFAULT_MAXIMUM_BYTES = 25_165_824L

        /** Several times the longest prompt of the deployments. */
        const val SMALL_BODY_BYTES = 65_536L
        private const val SMALL_BODIES_DIVISOR = 4
    }
}

/** Collects a body whose length is mostly known, without a second copy if it has exactly that length. */
internal class BodyBuffer(expectedBytes: Int) : ByteArrayOutputStream(expectedBytes) {
    /** Returns the collected bytes; nothing may be written afterwards. */
    fun takeBytes(): ByteArray = if (count == buf.size) buf else toByteArray()
}
