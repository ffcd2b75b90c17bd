@file:OptIn(ExperimentalSerializationApi::class)

package redwingcross.process.edge

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import redwingcross.connection.peer.CborStructure
import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.places.GatewayStart
import redwingcross.version.places.PlaceAnswer
import redwingcross.version.places.PlaceKind
import redwingcross.version.places.PlaceNumber
import redwingcross.version.places.PlaceReport
import redwingcross.version.places.PlaceRequest

/** A message between a gateway and the owner of the places. */
sealed interface PlaceMessage {
    /** A report to the owner. */
    data class Report(val report: PlaceReport) : PlaceMessage

    /** An answer of the owner that holds the controller lease of [epoch]. */
    data class Answer(val epoch: Long, val answer: PlaceAnswer) : PlaceMessage
}

/**
 * Encodes and decodes [PlaceMessage]s: a CBOR tag and an array. Several are sent for each request, so they contain the
 * sender's node name in place of its registry entry, which would make them three times as long.
 */
object PlaceCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The two bytes of a CBOR tag that no other message between processes begins with. */
    private const val TAG_INITIAL = 0xd8.toByte()
    private const val TAG_NUMBER = 0x52.toByte()
    private const val TAG_BYTES = 2

    fun encode(message: PlaceMessage): ByteArray {
        val wire = when (message) {
            is PlaceMessage.Report -> WireMessage(message.report.toWire(), null)
            is PlaceMessage.Answer -> WireMessage(null, message.answer.toWire(message.epoch))
        }
        return byteArrayOf(TAG_INITIAL, TAG_NUMBER) + cbor.encodeToByteArray(wire)
    }

    fun isPlaceMessage(bytes: ByteArray): Boolean =
        bytes.size > TAG_BYTES && bytes[0] == TAG_INITIAL && bytes[1] == TAG_NUMBER

    /** The message in [bytes]; null if they contain no valid one. */
    fun decode(bytes: ByteArray): PlaceMessage? = runCatching {
        val content = CborStructure.requireComplete(bytes).copyOfRange(TAG_BYTES, bytes.size)
        val wire = cbor.decodeFromByteArray<WireMessage>(content)
        val answer = wire.answer?.let { fields -> fields.toAnswer()?.let { PlaceMessage.Answer(fields.epoch, it) } }
        answer ?: wire.report?.takeIf { fields -> fields.held.values.all { it in 0..MAXIMUM_HELD } }
            ?.let { PlaceMessage.Report(it.toReport()) }
    }.getOrNull()

    /** More requests in flight than this at one group are not plausible for a single gateway. */
    private const val MAXIMUM_HELD = 10_000

    private const val GRANTED = 0
    private const val QUEUED = 1
    private const val DECLINED = 2

    // Without default values: an array would leave out fields that have them, and shift those that follow.
    @Serializable
    @CborArray
    private class WireMessage(val report: WireReport?, val answer: WireAnswer?)

    @Serializable
    @CborArray
    private class WireReport(
        val node: String,
        val start: Long,
        val sequence: Long,
        val held: Map<String, Int>,
        val open: List<Long>,
        val request: WireRequest?,
    )

    @Serializable
    @CborArray
    private class WireRequest(
        val service: String,
        val model: String,
        val excluded: List<String>,
        val isResuming: Boolean,
        val priority: Int,
    )

    @Serializable
    @CborArray
    private class WireAnswer(val epoch: Long, val number: Long, val result: Int, val head: String?)

    private fun PlaceReport.toWire() = WireReport(
        gateway.node.value,
        gateway.unixMillis,
        sequence,
        held.mapKeys { it.key.value },
        open.map { it.value },
        request?.run {
            WireRequest(kind.service.value, kind.model.value, excluded.map { it.value }, isResuming, priority)
        },
    )

    private fun WireReport.toReport() = PlaceReport(
        GatewayStart(ProcessName(node), start),
        sequence,
        held.mapKeys { BackendServer(it.key) },
        open.mapTo(HashSet(), ::PlaceNumber),
        request?.run {
            val kind = PlaceKind(ServiceName(service), ModelName(model))
            PlaceRequest(kind, excluded.mapTo(HashSet(), ::BackendServer), isResuming, priority)
        },
    )

    private fun PlaceAnswer.toWire(epoch: Long) = when (this) {
        is PlaceAnswer.Granted -> WireAnswer(epoch, number.value, GRANTED, head.value)
        is PlaceAnswer.Queued -> WireAnswer(epoch, number.value, QUEUED, null)
        is PlaceAnswer.Declined -> WireAnswer(epoch, number.value, DECLINED, null)
    }

    private fun WireAnswer.toAnswer(): PlaceAnswer? = when (result) {
        GRANTED -> head?.let { PlaceAnswer.Granted(PlaceNumber(number), BackendServer(it)) }
        QUEUED -> PlaceAnswer.Queued(PlaceNumber(number))
        DECLINED -> PlaceAnswer.Declined(PlaceNumber(number))
        else -> null
    }
}
