package redwingcross.process.gossip

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import redwingcross.connection.peer.CborStructure
import redwingcross.process.membership.MemberChange
import redwingcross.request.Checked
import redwingcross.request.Finding
import kotlin.time.Duration

/**
 * Encodes payloads as one byte for the kind, followed by a CBOR array. Times are encoded as ages and converted back to
 * times of the reader's clock.
 */
@OptIn(ExperimentalSerializationApi::class)
object GossipCodec {
    private val cbor =
        Cbor {
            alwaysUseByteString = true
            useDefiniteLengthEncoding = true
        }

    /** Encoded sizes of the parts of a message. */
    val sizes =
        GossipSizes(
            heartbeat = { size(WireHeartbeat.serializer(), it.toWire()) },
            zone = { size(WireZone.serializer(), it.toWire()) },
            cold = { size(WireCold.serializer(), it.toWire()) },
        )

    /** Returns the encoded size of a member change, with the longest encoding of the age of its start time. */
    val changeSize: (MemberChange) -> Int = {
        size(WireMember.serializer(), it.toWire(it.member.startedAt)) + AGE_BYTES
    }

    /** Encodes [payload] at the time [now] of the sender's clock. */
    fun encode(payload: GossipPayload, now: Duration): ByteArray = when (payload) {
        is GossipPayload.Introduction ->
            encode(INTRODUCTION, WirePing.serializer(), payload.toWire(now))
        is GossipPayload.Digest -> encode(DIGEST, WireDigest.serializer(), payload.digest.toWire(now))
        is GossipPayload.Answer -> encode(ANSWER, WireAnswer.serializer(), payload.answer.toWire(now))
        is GossipPayload.ZonesRequest -> encode(ZONES_REQUEST, WireKeys.serializer(), payload.toWire())
        is GossipPayload.Zones -> encode(ZONES, WireZones.serializer(), payload.toWire())
        is GossipPayload.Sync -> encode(SYNC, WireSync.serializer(), payload.toWire(now))
        is GossipPayload.Table -> encode(TABLE, WireTable.serializer(), payload.toWire(now))
    }

    /** Decodes a payload at the time [now] of the reader's clock. */
    fun decode(bytes: ByteArray, now: Duration): Checked<GossipPayload> = runCatching {
        decodeKind(bytes.first(), CborStructure.requireComplete(bytes.copyOfRange(1, bytes.size)), now)
    }.fold(
        onSuccess = { Checked.Valid(it) },
        onFailure = { Checked.Invalid(listOf(Finding("gossip payload", it.message.orEmpty()))) },
    )

    private fun decodeKind(kind: Byte, body: ByteArray, now: Duration): GossipPayload = when (kind) {
        INTRODUCTION -> cbor.decodeFromByteArray(WirePing.serializer(), body).toPayload(now)
        DIGEST -> GossipPayload.Digest(cbor.decodeFromByteArray(WireDigest.serializer(), body).toDigest(now))
        ANSWER -> GossipPayload.Answer(cbor.decodeFromByteArray(WireAnswer.serializer(), body).toAnswer(now))
        ZONES_REQUEST -> cbor.decodeFromByteArray(WireKeys.serializer(), body).toPayload()
        ZONES -> cbor.decodeFromByteArray(WireZones.serializer(), body).toPayload()
        SYNC -> cbor.decodeFromByteArray(WireSync.serializer(), body).toPayload(now)
        TABLE -> cbor.decodeFromByteArray(WireTable.serializer(), body).toPayload(now)
        else -> throw IllegalArgumentException("unknown kind $kind")
    }

    private fun <T> encode(kind: Byte, serializer: KSerializer<T>, value: T): ByteArray =
        byteArrayOf(kind) + cbor.encodeToByteArray(serializer, value)

    private fun <T> size(serializer: KSerializer<T>, value: T): Int = cbor.encodeToByteArray(serializer, value).size

    private const val INTRODUCTION: Byte = 1
    private const val DIGEST: Byte = 2
    private const val ANSWER: Byte = 3
    private const val ZONES_REQUEST: Byte = 4
    private const val ZONES: Byte = 5
    private const val SYNC: Byte = 6
    private const val TABLE: Byte = 7

    /** Additional bytes of the longest age: an age of 0 takes one byte, the longest takes nine. */
    private const val AGE_BYTES = 8
}
