package redwingcross.process.edge

import redwingcross.version.forwarding.PaceSample
import java.nio.ByteBuffer
import kotlin.math.roundToInt

/**
 * Encodes [PaceSample]s in six bytes each: 24 bits of the hash of the head's name, the pace in eighths (0 if none was
 * measured), the number of events, and four bits each for the requests that ended and that failed.
 */
internal object PaceFormat {
    fun encode(samples: Map<CompactName, PaceSample>): ByteArray {
        val buffer = ByteBuffer.allocate(samples.size * ENTRY_BYTES)
        for ((name, sample) in samples) {
            buffer.putInt(name.hash shl Byte.SIZE_BITS or (sample.pace?.let(::toEighths) ?: 0))
            buffer.put(sample.events.coerceAtMost(MAXIMUM_BYTE).toByte())
            val ended = sample.ended.coerceAtMost(MAXIMUM_ENDS)
            buffer.put((ended shl ENDED_SHIFT or sample.failed.coerceAtMost(ended)).toByte())
        }
        return buffer.array()
    }

    /** Decodes [bytes]; an incomplete entry at the end is ignored. */
    fun decode(bytes: ByteArray): Map<CompactName, PaceSample> {
        val buffer = ByteBuffer.wrap(bytes)
        val samples = HashMap<CompactName, PaceSample>()
        while (buffer.remaining() >= ENTRY_BYTES) {
            val entry = buffer.getInt()
            val eighths = entry and MAXIMUM_BYTE
            val events = buffer.get().toInt() and MAXIMUM_BYTE
            val ends = buffer.get().toInt() and MAXIMUM_BYTE
            val pace = eighths.takeIf { it > 0 && events > 0 }?.let(::fromEighths)
            samples[CompactName(entry ushr Byte.SIZE_BITS)] =
                PaceSample(pace, events, ends ushr ENDED_SHIFT, ends and MAXIMUM_ENDS)
        }
        return samples
    }

    fun toEighths(pace: Double): Int = (pace * EIGHTHS).roundToInt().coerceIn(1, MAXIMUM_BYTE)

    fun fromEighths(eighths: Int): Double = eighths / EIGHTHS

    private const val EIGHTHS = 8.0
    private const val ENTRY_BYTES = 6
    private const val MAXIMUM_BYTE = 0xff
    private const val MAXIMUM_ENDS = 0xf
    private const val ENDED_SHIFT = 4
}
