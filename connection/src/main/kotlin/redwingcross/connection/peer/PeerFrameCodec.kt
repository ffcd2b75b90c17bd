package redwingcross.connection.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.coroutines.CancellationException
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import redwingcross.request.Checked
import redwingcross.request.Finding
import java.nio.ByteBuffer

/**
 * Encodes frames as CBOR. Byte arrays become byte strings, because arrays of numbers would take up to twice the space.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerFrameCodec {
    private val cbor =
        Cbor {
            alwaysUseByteString = true
            useDefiniteLengthEncoding = true
            ignoreUnknownKeys = true
        }

    /** Encodes [frame] as one CBOR document, without a length prefix. */
    fun encode(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(PeerFrame.serializer(), frame)

    /** Decodes one CBOR document; [place] identifies the document in the finding if it is invalid. */
    fun decode(document: ByteArray, place: String): Checked<PeerFrame> =
        runCatching { cbor.decodeFromByteArray(PeerFrame.serializer(), CborStructure.requireComplete(document)) }.fold(
            onSuccess = { Checked.Valid(it) },
            onFailure = { Checked.Invalid(listOf(Finding(place, "not a peer frame: ${it.message?.oneLine()}"))) },
        )
}

/** Size of the length prefix of each frame, in bytes. */
internal const val LENGTH_PREFIX_BYTES = 4

/** Prefixes an encoded frame with its length. */
internal fun withLengthPrefix(document: ByteArray): ByteArray =
    ByteBuffer.allocate(LENGTH_PREFIX_BYTES + document.size).putInt(document.size).put(document).array()

/** Result of reading one frame from a connection. */
internal sealed interface FrameReading {
    /** A valid frame of [bytes] bytes, including the length prefix. */
    data class Read(val frame: PeerFrame, val bytes: Int) : FrameReading

    /** An invalid frame. The connection must be closed: the next frame boundary is unknown, or the sender is faulty. */
    data class Malformed(val finding: Finding) : FrameReading

    /** The connection was closed or failed. */
    data object Ended : FrameReading
}

/** Reads the next frame. Findings contain [place], the address of the peer, and [offset], the bytes read before. */
internal suspend fun ByteReadChannel.readFrame(limit: Int, place: String, offset: Long): FrameReading {
    val position = "$place byte $offset"
    return try {
        val length = readInt()
        if (length !in 1..limit) {
            FrameReading.Malformed(Finding(position, "frame length $length is outside 1..$limit"))
        } else {
            when (val decoded = PeerFrameCodec.decode(readByteArray(length), position)) {
                is Checked.Valid -> FrameReading.Read(decoded.value, LENGTH_PREFIX_BYTES + length)
                is Checked.Invalid -> FrameReading.Malformed(decoded.findings.first())
            }
        }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: IOException) {
        FrameReading.Ended
    }
}

private fun String.oneLine(): String = lineSequence().first().take(MAXIMUM_DETAIL_LENGTH)

private const val MAXIMUM_DETAIL_LENGTH = 160
