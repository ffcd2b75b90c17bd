package redwingcross.request.idempotency

import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Version of the object that was read, and the nonce of its value if it has one. */
data class FoundVersion(val version: RecordVersion, val nonce: Nonce?)

/** Results of the calls that a [ConfirmedWrite] requires. */
sealed interface ConfirmedWriteEvent {
    /** The write took effect and the object now has [version]. */
    data class Written(val version: RecordVersion) : ConfirmedWriteEvent

    /** The object was not at the expected version. */
    data object Conflict : ConfirmedWriteEvent

    /** The write had no effect and will not have any. */
    data class NotSent(val detail: String) : ConfirmedWriteEvent

    /** The result of the write is not known: it may have taken effect, or may still do so. */
    data class Lost(val detail: String) : ConfirmedWriteEvent

    /** Result of a read; [found] is null if the object does not exist. */
    data class Read(val found: FoundVersion?) : ConfirmedWriteEvent

    /** The object could not be read. */
    data class ReadFailed(val detail: String) : ConfirmedWriteEvent

    /** The duration of [ConfirmedWriteEffect.Wait] has passed. */
    data object WaitElapsed : ConfirmedWriteEvent
}

/** The next call that a [ConfirmedWrite] requires. */
sealed interface ConfirmedWriteEffect {
    /** Sends the write, each time with the same value and condition. */
    data object Write : ConfirmedWriteEffect

    /** Reads the object. */
    data object Read : ConfirmedWriteEffect

    /** Waits for [duration]. */
    data class Wait(val duration: Duration) : ConfirmedWriteEffect

    /** Ends the write with [result]. */
    data class Finish(val result: ConfirmedWriteResult) : ConfirmedWriteEffect
}

/** Result of a [ConfirmedWrite]. */
sealed interface ConfirmedWriteResult {
    /** The write took effect and had not been replaced by another write at the time of the confirmation. */
    data class Confirmed(val version: RecordVersion) : ConfirmedWriteResult

    /** The object was at another version. [found] is null if the object does not exist or was not read. */
    data class Conflict(val found: FoundVersion?) : ConfirmedWriteResult

    /** The deadline has passed and the write can't have taken effect. */
    data class NoEffect(val detail: String) : ConfirmedWriteResult

    /** The deadline has passed, and the write may have taken effect or may still do so. */
    data class Unknown(val detail: String) : ConfirmedWriteResult
}

/**
 * State machine of a conditional write whose answers may be lost. After a lost answer it reads the object to find out
 * whether the value with [nonce] was written, and repeats the write if it was not. The first call is
 * [ConfirmedWriteEffect.Write].
 *
 * Repeating the write is safe: each try has the same value and the same condition, so at most one of them takes effect.
 */
data class ConfirmedWrite(
    val nonce: Nonce,
    /** Version that the write requires; null requires that the object does not exist. */
    val expected: RecordVersion?,
    /** Clock reading from which on no further call is made. */
    val deadline: Duration,
    /** Whether a write was sent whose result is not known. */
    val mayHaveEffect: Boolean = false,
    /** Whether a write was rejected with a conflict after an earlier one whose result is not known. */
    private val sawConflict: Boolean = false,
    /** Number of retries so far; determines the backoff. */
    private val failures: Int = 0,
    /** Call to make when the current backoff has elapsed. */
    private val afterWait: ConfirmedWriteEffect = ConfirmedWriteEffect.Write,
) {
    /** Returns the state after [event] and the next call. */
    fun next(event: ConfirmedWriteEvent, now: Duration): Transition<ConfirmedWrite, ConfirmedWriteEffect> =
        when (event) {
            is ConfirmedWriteEvent.Written -> finish(ConfirmedWriteResult.Confirmed(event.version))
            ConfirmedWriteEvent.Conflict -> onConflict(now)
            is ConfirmedWriteEvent.NotSent -> retry(ConfirmedWriteEffect.Write, event.detail, now)
            is ConfirmedWriteEvent.Lost ->
                copy(mayHaveEffect = true).proceed(ConfirmedWriteEffect.Read, event.detail, now)
            is ConfirmedWriteEvent.ReadFailed -> retry(ConfirmedWriteEffect.Read, event.detail, now)
            is ConfirmedWriteEvent.Read -> onRead(event.found, now)
            ConfirmedWriteEvent.WaitElapsed -> proceed(afterWait, "deadline passed", now)
        }

    /** After a lost answer, the conflict may be caused by this write itself, so the object has to be read. */
    private fun onConflict(now: Duration) = if (mayHaveEffect) {
        copy(sawConflict = true).proceed(ConfirmedWriteEffect.Read, "conflict after a lost answer", now)
    } else {
        finish(ConfirmedWriteResult.Conflict(null))
    }

    private fun onRead(found: FoundVersion?, now: Duration) = when {
        found != null && found.nonce == nonce -> finish(ConfirmedWriteResult.Confirmed(found.version))

        found != null && (expected == null || found.version.value > expected.value) ->
            finish(ConfirmedWriteResult.Conflict(found))

        found == null && expected != null && sawConflict -> finish(ConfirmedWriteResult.Conflict(null))

        // The write has not taken effect yet or the read was stale. Repeating the write takes effect or conflicts.
        else -> retry(ConfirmedWriteEffect.Write, "not in effect", now)
    }

    private fun retry(
        call: ConfirmedWriteEffect,
        detail: String,
        now: Duration,
    ): Transition<ConfirmedWrite, ConfirmedWriteEffect> {
        val wait = FIRST_WAIT * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))
        return when {
            now + wait >= deadline -> finish(expired(detail))
            else -> copy(failures = failures + 1, afterWait = call).with(ConfirmedWriteEffect.Wait(wait))
        }
    }

    private fun proceed(call: ConfirmedWriteEffect, detail: String, now: Duration) =
        if (now >= deadline) finish(expired(detail)) else with(call)

    private fun expired(detail: String) =
        if (mayHaveEffect) ConfirmedWriteResult.Unknown(detail) else ConfirmedWriteResult.NoEffect(detail)

    private fun finish(result: ConfirmedWriteResult): Transition<ConfirmedWrite, ConfirmedWriteEffect> =
        with(ConfirmedWriteEffect.Finish(result))

    private companion object {
        val FIRST_WAIT = 25.milliseconds

        /**
         * Limits the backoff to 400 ms, so a failing platform gets at most about 3 calls per second from each write.
         */
        const val MAX_DOUBLINGS = 4
    }
}
