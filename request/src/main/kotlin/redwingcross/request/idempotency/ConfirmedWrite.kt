package redwingcross.request.idempotency

import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a read found: the version, and the nonce of the value if it has one. */
data class FoundVersion(val version: RecordVersion, val nonce: Nonce?)

/** Answers of the store to the calls of a [ConfirmedWrite]. */
sealed interface ConfirmedWriteEvent {
    data class Written(val version: RecordVersion) : ConfirmedWriteEvent

    /** The object was not at the expected version. */
    data object Conflict : ConfirmedWriteEvent

    /** The write had no effect and never will. */
    data class NotSent(val detail: String) : ConfirmedWriteEvent

    /** The write may have taken effect, or may do so later. */
    data class Lost(val detail: String) : ConfirmedWriteEvent

    /** The answer to a read; null when the object is absent. */
    data class Read(val found: FoundVersion?) : ConfirmedWriteEvent

    data class ReadFailed(val detail: String) : ConfirmedWriteEvent

    /** The time asked for with [ConfirmedWriteEffect.Wait] has passed. */
    data object WaitElapsed : ConfirmedWriteEvent
}

/** The one call that a [ConfirmedWrite] needs next. */
sealed interface ConfirmedWriteEffect {
    /** Carries out the write, the same one each time. */
    data object Write : ConfirmedWriteEffect

    data object Read : ConfirmedWriteEffect

    data class Wait(val duration: Duration) : ConfirmedWriteEffect

    data class Finish(val result: ConfirmedWriteResult) : ConfirmedWriteEffect
}

/** What is known about a conditional write in the end. */
sealed interface ConfirmedWriteResult {
    /** The write took effect and nothing had replaced it when this was seen. */
    data class Confirmed(val version: RecordVersion) : ConfirmedWriteResult

    /** The object had another value; [found] is null if it is absent or was not read. */
    data class Conflict(val found: FoundVersion?) : ConfirmedWriteResult

    /** The deadline passed, and no write can have taken effect. */
    data class NoEffect(val detail: String) : ConfirmedWriteResult

    /** The deadline passed, and a write may have taken effect or may do so later. */
    data class Unknown(val detail: String) : ConfirmedWriteResult
}

/**
 * One conditional write whose answers may be lost: it reads back until it knows whether the value with [nonce] is in
 * effect, and repeats the same write when it is not. Start it by carrying out [ConfirmedWriteEffect.Write].
 *
 * Repeating is safe because every try has the same value and the same condition, so at most one takes effect.
 */
data class ConfirmedWrite(
    val nonce: Nonce,
    /** Version that the write requires; null requires that the object is absent. */
    val expected: RecordVersion?,
    /** No further call is made at or after this time. */
    val deadline: Duration,
    /** A write was sent whose effect is not known. */
    val mayHaveEffect: Boolean = false,
    private val refused: Boolean = false,
    private val failures: Int = 0,
    private val afterWait: ConfirmedWriteEffect = ConfirmedWriteEffect.Write,
) {
    /** The next call after [event]. */
    fun next(event: ConfirmedWriteEvent, now: Duration): Transition<ConfirmedWrite, ConfirmedWriteEffect> =
        when (event) {
            is ConfirmedWriteEvent.Written -> finish(ConfirmedWriteResult.Confirmed(event.version))
            ConfirmedWriteEvent.Conflict -> onConflict(now)
            is ConfirmedWriteEvent.NotSent -> retry(ConfirmedWriteEffect.Write, event.detail, now)
            is ConfirmedWriteEvent.Lost -> copy(
                mayHaveEffect = true,
            ).proceed(ConfirmedWriteEffect.Read, event.detail, now)
            is ConfirmedWriteEvent.ReadFailed -> retry(ConfirmedWriteEffect.Read, event.detail, now)
            is ConfirmedWriteEvent.Read -> onRead(event.found, now)
            ConfirmedWriteEvent.WaitElapsed -> proceed(afterWait, "deadline passed", now)
        }

    /** After a lost answer, a conflict may be caused by this write itself, so only a read can tell. */
    private fun onConflict(now: Duration) = if (mayHaveEffect) {
        copy(refused = true).proceed(ConfirmedWriteEffect.Read, "conflict after a lost answer", now)
    } else {
        finish(ConfirmedWriteResult.Conflict(null))
    }

    private fun onRead(found: FoundVersion?, now: Duration) = when {
        found != null && found.nonce == nonce -> finish(ConfirmedWriteResult.Confirmed(found.version))

        found != null && (expected == null || found.version.value > expected.value) ->
            finish(ConfirmedWriteResult.Conflict(found))

        found == null && expected != null && refused -> finish(ConfirmedWriteResult.Conflict(null))

        // Not in effect yet, or a stale read. The same write tells: it takes effect or conflicts.
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

        /** Waits reach 400 ms, so a failing platform gets at most about 3 calls a second from each write. */
        const val MAX_DOUBLINGS = 4
    }
}
