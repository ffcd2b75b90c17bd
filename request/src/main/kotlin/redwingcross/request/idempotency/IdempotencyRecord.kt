package redwingcross.request.idempotency

import kotlinx.serialization.Serializable
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer

/** Version assigned by the store. It increases with each write and never returns to an earlier value. */
@Serializable
@JvmInline
value class RecordVersion(val value: Long)

/**
 * Unique value that the writer adds to each write, so that a read shows whether a write with a lost answer took effect.
 */
@Serializable
@JvmInline
value class Nonce(val value: String)

/** Progress of the attempt named in a record, as far as it was stored. */
@Serializable
enum class RecordState { STARTED, COMPLETED, UNKNOWN }

/** Answer of a completed run. [body] is null if it exceeds the size limit for stored bodies. */
@Serializable
class StoredAnswer(val status: Int, val contentType: String?, val body: ByteArray?)

/** Stored record of an idempotency key: the current attempt, and its answer once it has completed. */
@Serializable
data class IdempotencyRecord(
    val state: RecordState,
    val attempt: AttemptId,
    /** Gateway that runs [attempt] and can be queried whether it was dispatched. */
    val gateway: ProcessName,
    val nonce: Nonce,
    val digest: BodyDigest,
    /** Set only in state [RecordState.COMPLETED]. */
    val answer: StoredAnswer? = null,
)

/** A record as read from the store. */
data class StoredRecord(val version: RecordVersion, val record: IdempotencyRecord)

/** Omits a body of more than [maxBody] bytes, so that a record stays far below the platform's limit of 1 MB. */
internal fun ServiceAnswer.toStoredAnswer(maxBody: Int) =
    StoredAnswer(status, contentType, body.takeIf { it.size <= maxBody })
