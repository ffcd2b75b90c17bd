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

/** Frames as CBOR. Byte arrays are byte strings; as lists of numbers they would take up to twice the space. */
@OptIn(ExperimentalSerializationApi::class)
object PeerFrameCodec {
    private val cbor =
        Cbor {
            alwaysUseByteString = true
            useDefiniteLengthEncoding = true
            ignoreUnknownKeys = true
        }

    /** The CBOR document of [frame], without a length prefix. */
    fun encode(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(PeerFrame.serializer(), frame)

    /** Reads one CBOR document; [place] names it in the finding. */
    fun decode(document: ByteArray, place: String): Checked<PeerFrame> =
        runCatching { cbor.decodeFromByteArray(PeerFrame.serializer(), document) }.fold(
            onSuccess = { Checked.Valid(it) },
            onFailure = { Checked.Invalid(listOf(Finding(place, "not a peer frame: ${it.message?.oneLine()}"))) },
        )
}

/** Bytes of the length prefix of each frame. */
internal const val LENGTH_BYTES = 4

internal fun withLength(document: ByteArray): ByteArray =
    ByteBuffer.allocate(LENGTH_BYTES + document.size).putInt(document.size).put(document).array()

/** One attempt to read a frame from a connection. */
internal sealed interface FrameReading {
    data class Read(val frame: PeerFrame, val bytes: Int) : FrameReading

    /** The connection must be closed, because its next frame boundary is unknown or its sender is faulty. */
    data class Malformed(val finding: Finding) : FrameReading

    data object Ended : FrameReading
}

/** Reads the next frame; [place] names the peer, and [offset] is the number of bytes read before it. */
internal suspend fun ByteReadChannel.readFrame(limit: Int, place: String, offset: Long): FrameReading {
    val position = "$place byte $offset"
    return try {
        val length = readInt()
        if (length !in 1..limit) {
            FrameReading.Malformed(Finding(position, "frame length $length is outside 1..$limit"))
        } else {
            when (val decoded = PeerFrameCodec.decode(readByteArray(length), position)) {
                is Checked.Valid -> FrameReading.Read(decoded.value, LENGTH_BYTES + length)
                is Checked.Invalid -> FrameReading.Malformed(decoded.findings.first())
            }
        }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: IOException) {
        FrameReading.Ended
    }
}

private fun String.oneLine(): String = lineSequence().first().take(MAXIMUM_DETAIL)

private const val MAXIMUM_DETAIL = 160
