package redwingcross.connection.idempotency

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import redwingcross.request.AttemptId
import redwingcross.request.Checked
import redwingcross.request.Finding
import redwingcross.request.ProcessName
import redwingcross.request.idempotency.BodyDigest
import redwingcross.request.idempotency.IdempotencyRecord
import redwingcross.request.idempotency.Nonce
import redwingcross.request.idempotency.RecordState
import redwingcross.request.idempotency.StoredAnswer
import java.util.Base64

/** JSON of an idempotency record in the store. The body of an answer is Base64, a third larger than the body itself. */
@Serializable
private data class RecordJson(
    val state: String,
    val attempt: AttemptId,
    val gateway: ProcessName,
    val nonce: Nonce,
    val digest: BodyDigest,
    val answer: AnswerJson? = null,
)

@Serializable
private data class AnswerJson(val status: Int, val contentType: String? = null, val body: String? = null)

internal fun IdempotencyRecord.toJson(): JsonElement = Json.encodeToJsonElement(
    RecordJson.serializer(),
    RecordJson(
        state.name.lowercase(),
        attempt,
        gateway,
        nonce,
        digest,
        answer?.let { AnswerJson(it.status, it.contentType, it.body?.let(Base64.getEncoder()::encodeToString)) },
    ),
)

/** Decodes a record. A value that is not a record is returned as a [Finding] at [place]. */
internal fun decodeRecord(place: String, value: JsonElement): Checked<IdempotencyRecord> = try {
    val wire = Json.decodeFromJsonElement(RecordJson.serializer(), value)
    val state = RecordState.entries.single { it.name.lowercase() == wire.state }
    val answer = wire.answer?.let { StoredAnswer(it.status, it.contentType, it.body?.let(Base64.getDecoder()::decode)) }
    Checked.Valid(IdempotencyRecord(state, wire.attempt, wire.gateway, wire.nonce, wire.digest, answer))
} catch (malformed: SerializationException) {
    Checked.Invalid(listOf(Finding(place, malformed.message ?: "not an idempotency record")))
} catch (malformed: IllegalArgumentException) {
    Checked.Invalid(listOf(Finding(place, malformed.message ?: "body is not valid Base64")))
} catch (malformed: NoSuchElementException) {
    Checked.Invalid(listOf(Finding(place, malformed.message ?: "unknown record state")))
}
