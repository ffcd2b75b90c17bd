package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer

/** Version that the store gave to a record; it rises with each write and never returns to an earlier value. */
@Serializable
@JvmInline
value class RecordVersion(val value: Long)

/** Chosen by the writer for each write, so that a read shows whether a write with a lost answer took effect. */
@Serializable
@JvmInline
value class Nonce(val value: String)

/** How far the attempt named in a record has come, as far as the store knows. */
@Serializable
enum class RecordState { STARTED, COMPLETED, UNKNOWN }

/** The answer of a completed run; [body] is null if it was above the bound for stored bodies. */
@Serializable
class StoredAnswer(val status: Int, val contentType: String?, val body: ByteArray?)

/** What the platform holds for one idempotency key: at most one attempt, and its answer once it has completed. */
@Serializable
data class IdempotencyRecord(
    val state: RecordState,
    val attempt: AttemptId,
    /** Process that can tell whether [attempt] was dispatched. */
    val gateway: ProcessName,
    val nonce: Nonce,
    val digest: BodyDigest,
    /** Set only in state completed. */
    val answer: StoredAnswer? = null,
)

/** A record as read from the store. */
data class StoredRecord(val version: RecordVersion, val record: IdempotencyRecord)

/** Bodies above [maxBody] bytes are left out, so that a record stays far below the platform's limit of 1 MB. */
internal fun ServiceAnswer.toStored(maxBody: Int) =
    StoredAnswer(status, contentType, body.takeIf { it.size <= maxBody })
