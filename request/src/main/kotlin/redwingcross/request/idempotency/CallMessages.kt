package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer
import kotlin.time.Duration

/** Input of the [NonIdempotentCall] state machine. */
sealed interface CallEvent {
    /** The attempt begins. */
    data object Started : CallEvent

    /** The write took effect and the record now has [version]. */
    data class Written(val version: RecordVersion) : CallEvent

    /** The record was not at the expected version, so the write had no effect. */
    data object Conflict : CallEvent

    /** The write had no effect and will not have any. */
    data class NotSent(val detail: String) : CallEvent

    /** The result of the write is not known: it may have taken effect, or may still do so. */
    data class Lost(val detail: String) : CallEvent

    /** Result of a read; [found] is null if there is no record. */
    data class Read(val found: StoredRecord?) : CallEvent

    /** The record could not be read. */
    data class ReadFailed(val detail: String) : CallEvent

    /** The duration of [CallEffect.Wait] has passed. */
    data object WaitElapsed : CallEvent

    /**
     * Reply to [CallEffect.RequestAbandon]. If [abandoned], the earlier attempt was not and never will be dispatched.
     */
    data class AbandonAnswered(val abandoned: Boolean) : CallEvent

    /** [CallEffect.Dispatch] ended with [outcome]. */
    data class DispatchEnded(val outcome: Outcome<ServiceAnswer>) : CallEvent

    /**
     * Another attempt with the same key requests that this one is abandoned; can arrive between any two other events.
     */
    data object AbandonRequested : CallEvent
}

/** Action that the task of a non-idempotent call carries out. */
sealed interface CallEffect {
    /** Writes [record] if the stored record is at version [expected]; null requires that there is no record. */
    data class Write(val record: IdempotencyRecord, val expected: RecordVersion?) : CallEffect

    /** Reads the record of the key. */
    data object Read : CallEffect

    /** Deletes the record if it is at version [expected]. */
    data class Delete(val expected: RecordVersion) : CallEffect

    /** Waits for [duration], then sends [CallEvent.WaitElapsed]. */
    data class Wait(val duration: Duration) : CallEffect

    /** Requests [gateway] to abandon [attempt]. */
    data class RequestAbandon(val gateway: ProcessName, val attempt: AttemptId) : CallEffect

    /** Sends the request to the back end immediately and exactly once. */
    data object Dispatch : CallEffect

    /** Replies to [CallEvent.AbandonRequested]. */
    data class ReplyAbandon(val abandoned: Boolean) : CallEffect

    /** Leaves [update] to be carried out later, when the platform is available again. */
    data class DeferUpdate(val update: DeferredUpdate) : CallEffect

    /** Ends the call with [result]. */
    data class Finish(val result: NonIdempotentResult) : CallEffect
}

/** Update of a record that an attempt could not complete before it ended. */
sealed interface DeferredUpdate {
    val attempt: AttemptId

    /** Removes the record of an attempt that did not run, if the store contains it or a delayed write adds it later. */
    data class Remove(override val attempt: AttemptId) : DeferredUpdate

    /**
     * Replaces the record in state started, at version [expected], with [record] of an attempt that ran or may have
     * run.
     */
    data class Store(val record: IdempotencyRecord, val expected: RecordVersion) : DeferredUpdate {
        override val attempt: AttemptId get() = record.attempt
    }
}
