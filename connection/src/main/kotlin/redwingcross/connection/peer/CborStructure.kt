package redwingcross.connection.peer

/**
 * Checks the structure of CBOR (RFC 8949) before it is decoded. The decoder reads as many elements as a malformed
 * header states, also beyond the end of the bytes, until the memory is used up.
 */
object CborStructure {
    /** Returns [bytes] if they hold exactly one complete data item that is not nested too deeply. */
    fun requireComplete(bytes: ByteArray): ByteArray {
        val scanner = Scanner(bytes)
        require(scanner.skipItem(depth = 0) && scanner.remaining == 0) {
            "no complete CBOR item in ${bytes.size} bytes"
        }
        return bytes
    }

    private class Scanner(private val bytes: ByteArray) {
        private var position = 0
        val remaining: Int get() = bytes.size - position

        fun skipItem(depth: Int): Boolean {
            if (depth > MAXIMUM_DEPTH || remaining == 0) return false
            val initial = bytes[position++].toInt()
            val type = initial shr TYPE_SHIFT and TYPE_MASK
            val information = initial and INFORMATION_MASK
            if (information == INDEFINITE) return type in BYTE_STRING..MAP && skipUntilBreak(depth)
            val argument = readArgument(information) ?: return false
            return when (type) {
                BYTE_STRING, TEXT_STRING -> skipBytes(argument)
                ARRAY -> skipItems(argument, itemsPerElement = 1, depth)
                MAP -> skipItems(argument, itemsPerElement = 2, depth)
                TAG -> skipItem(depth + 1)
                else -> true
            }
        }

        /** Reads the argument of a header; null if it is invalid, or larger than any count that the bytes can hold. */
        private fun readArgument(information: Int): Long? {
            if (information < ONE_BYTE_ARGUMENT) return information.toLong()
            if (information > EIGHT_BYTE_ARGUMENT) return null
            val size = 1 shl (information - ONE_BYTE_ARGUMENT)
            if (remaining < size) return null
            var argument = 0L
            repeat(size) { argument = argument shl Byte.SIZE_BITS or (bytes[position++].toLong() and BYTE_MASK) }
            return argument
        }

        private fun skipBytes(count: Long): Boolean {
            if (count !in 0..remaining) return false
            position += count.toInt()
            return true
        }

        private fun skipItems(count: Long, itemsPerElement: Int, depth: Int): Boolean {
            // Each item takes at least one byte.
            if (count !in 0..remaining / itemsPerElement) return false
            return (0 until count * itemsPerElement).all { skipItem(depth + 1) }
        }

        private fun skipUntilBreak(depth: Int): Boolean {
            while (remaining > 0) {
                if (bytes[position] == BREAK) {
                    position++
                    return true
                }
                if (!skipItem(depth + 1)) return false
            }
            return false
        }
    }

    /** Messages between processes nest less than ten levels. */
    private const val MAXIMUM_DEPTH = 32

    private const val TYPE_SHIFT = 5
    private const val TYPE_MASK = 0x07
    private const val INFORMATION_MASK = 0x1f
    private const val BYTE_MASK = 0xffL
    private const val ONE_BYTE_ARGUMENT = 24
    private const val EIGHT_BYTE_ARGUMENT = 27
    private const val INDEFINITE = 31
    private const val BREAK: Byte = -1
    private const val BYTE_STRING = 2
    private const val TEXT_STRING = 3
    private const val ARRAY = 4
    private const val MAP = 5
    private const val TAG = 6
}
