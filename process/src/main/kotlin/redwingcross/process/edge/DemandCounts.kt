package redwingcross.process.edge

import java.nio.ByteBuffer

/** What a gateway, or in a digest the whole fleet, has to report about the requests of one kind. */
data class KindCounts(
    /** Waiting requests that can still be answered within their objective. */
    val waitingInTime: Int,
    /** Waiting requests that can only be answered late. */
    val waitingLate: Int,
    /** In a heartbeat, slots freed since the last one; in a digest, slots freed in ten seconds. */
    val freed: Int,
    /** In a heartbeat, requests refused since the last one; in a digest, requests refused in ten seconds. */
    val refused: Int,
) {
    internal val isEmpty: Boolean get() = waitingInTime == 0 && waitingLate == 0 && freed == 0 && refused == 0
}

/** The `demand` field of heartbeats and digests: [KindCounts] by kind, in eleven bytes each. */
object DemandCounts {
    /** A fleet has a few kinds; more of them make a message implausible. */
    const val MAXIMUM_KINDS = 16
    private const val HASH_BYTES = 3
    private const val ENTRY_BYTES = HASH_BYTES + 4 * Short.SIZE_BYTES
    private const val MAXIMUM_COUNT = 0xffff
    private const val MIDDLE_BYTE = 8
    private const val HIGH_BYTE = 16
    private const val BYTE_MASK = 0xff

    /** Encodes the kinds with something to report; null if there are none. Larger counts are stored as 65,535. */
    fun toBytes(counts: Map<CompactName, KindCounts>): ByteArray? {
        val reported = counts.entries.filter { !it.value.isEmpty }.take(MAXIMUM_KINDS)
        if (reported.isEmpty()) return null
        val buffer = ByteBuffer.allocate(reported.size * ENTRY_BYTES)
        for ((name, kind) in reported) {
            buffer.put((name.hash shr HIGH_BYTE).toByte()).putShort(name.hash.toShort())
            for (count in listOf(kind.waitingInTime, kind.waitingLate, kind.freed, kind.refused)) {
                buffer.putShort(count.coerceIn(0, MAXIMUM_COUNT).toShort())
            }
        }
        return buffer.array()
    }

    /** Decodes the field; null if [bytes] are no whole number of entries or too many. */
    fun of(bytes: ByteArray): Map<CompactName, KindCounts>? {
        if (bytes.size % ENTRY_BYTES != 0 || bytes.size > MAXIMUM_KINDS * ENTRY_BYTES) return null
        val buffer = ByteBuffer.wrap(bytes)
        val counts = HashMap<CompactName, KindCounts>()
        while (buffer.hasRemaining()) {
            val name = CompactName(
                (buffer.get().toInt() and BYTE_MASK shl HIGH_BYTE) or
                    (buffer.get().toInt() and BYTE_MASK shl MIDDLE_BYTE) or
                    (buffer.get().toInt() and BYTE_MASK),
            )
            counts[name] = KindCounts(buffer.count(), buffer.count(), buffer.count(), buffer.count())
        }
        return counts
    }

    private fun ByteBuffer.count() = getShort().toInt() and MAXIMUM_COUNT
}
