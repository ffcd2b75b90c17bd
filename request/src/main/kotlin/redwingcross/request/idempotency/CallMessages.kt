package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer
import kotlin.time.Duration

/** What happened to a non-idempotent call. */
sealed interface CallEvent {
    data object Started : CallEvent

    data class Written(val version: RecordVersion) : CallEvent

    data object Conflict : CallEvent

    /** The write had no effect and never will. */
    data class NotSent(val detail: String) : CallEvent

    /** The write may have taken effect, or may do so later. */
    data class Lost(val detail: String) : CallEvent

    /** The answer to a read; null when there is no record. */
    data class Read(val found: StoredRecord?) : CallEvent

    data class ReadFailed(val detail: String) : CallEvent

    data object WaitElapsed : CallEvent

    /** The gateway of the earlier attempt promised that the attempt will never be dispatched, or could not. */
    data class AbandonAnswered(val abandoned: Boolean) : CallEvent

    data class DispatchEnded(val outcome: Outcome<ServiceAnswer>) : CallEvent

    /** Another attempt with the same key asks this one to give up; may arrive between any two other events. */
    data object AbandonRequested : CallEvent
}

/** What the task does for a non-idempotent call. */
sealed interface CallEffect {
    /** Writes [record] if the store is at [expected]; null requires that there is no record. */
    data class Write(val record: IdempotencyRecord, val expected: RecordVersion?) : CallEffect

    data object Read : CallEffect

    data class Delete(val expected: RecordVersion) : CallEffect

    data class Wait(val duration: Duration) : CallEffect

    data class RequestAbandon(val gateway: ProcessName, val attempt: AttemptId) : CallEffect

    /** Sends the request at once and only once. */
    data object Dispatch : CallEffect

    /** Answers [CallEvent.AbandonRequested]. */
    data class ReplyAbandon(val abandoned: Boolean) : CallEffect

    /** Work on the record that is left for later, when the platform answers again. */
    data class DeferUpdate(val update: DeferredUpdate) : CallEffect

    data class Finish(val result: NonIdempotentResult) : CallEffect
}

/** A change of a record that an ended attempt could not complete. */
sealed interface DeferredUpdate {
    val attempt: AttemptId

    /** The attempt never ran; its record is removed if it is still, or again, in the store. */
    data class Remove(override val attempt: AttemptId) : DeferredUpdate

    /** The attempt ran; [record] replaces the started record at [expected]. */
    data class Store(val record: IdempotencyRecord, val expected: RecordVersion) : DeferredUpdate {
        override val attempt: AttemptId get() = record.attempt
    }
}
