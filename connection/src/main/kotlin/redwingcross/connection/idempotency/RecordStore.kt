package redwingcross.connection.idempotency

import redwingcross.connection.platform.ConditionalWrite
import redwingcross.connection.platform.ObjectKey
import redwingcross.connection.platform.ObjectKind
import redwingcross.connection.platform.ObjectVersion
import redwingcross.connection.platform.PlatformResult
import redwingcross.connection.platform.PlatformStore
import redwingcross.connection.platform.StoredObject
import redwingcross.connection.platform.WriteAnswer
import redwingcross.request.Checked
import redwingcross.request.idempotency.CallEvent
import redwingcross.request.idempotency.IdempotencyRecord
import redwingcross.request.idempotency.RecordName
import redwingcross.request.idempotency.RecordVersion
import redwingcross.request.idempotency.StoredRecord

/** Kind of the idempotency records in the platform's store. */
val idempotencyRecordKind: ObjectKind = ObjectKind("bookings")

/** Reads and writes idempotency records in the platform's store and returns each result as a [CallEvent]. */
internal class RecordStore(private val platform: PlatformStore) {
    suspend fun read(name: RecordName): CallEvent = when (val result = platform.read(name.key())) {
        is PlatformResult.Answered -> result.value?.toEvent() ?: CallEvent.Read(null)
        is PlatformResult.Unavailable -> CallEvent.ReadFailed(result.detail)
        is PlatformResult.OutcomeUnknown -> CallEvent.ReadFailed(result.detail)
    }

    suspend fun write(name: RecordName, record: IdempotencyRecord, expected: RecordVersion?): CallEvent =
        platform.write(ConditionalWrite.Put(name.key(), expected?.toObject(), record.toJson())).toEvent()

    suspend fun delete(name: RecordName, expected: RecordVersion): CallEvent =
        platform.write(ConditionalWrite.Delete(name.key(), expected.toObject())).toEvent()

    private fun RecordName.key() = ObjectKey(idempotencyRecordKind, value)

    private fun RecordVersion.toObject() = ObjectVersion(value)

    private fun StoredObject.toEvent(): CallEvent = when (val record = decodeRecord(key.toString(), value)) {
        is Checked.Valid -> CallEvent.Read(StoredRecord(RecordVersion(version.value), record.value))
        is Checked.Invalid -> CallEvent.ReadFailed(record.findings.joinToString())
    }

    private fun PlatformResult<WriteAnswer>.toEvent(): CallEvent = when (this) {
        is PlatformResult.Answered -> when (val answer = value) {
            is WriteAnswer.Written -> CallEvent.Written(RecordVersion(answer.version.value))
            WriteAnswer.Conflict -> CallEvent.Conflict
        }

        is PlatformResult.Unavailable -> CallEvent.NotSent(detail)

        is PlatformResult.OutcomeUnknown -> CallEvent.Lost(detail)
    }
}
