package redwingcross.request.idempotency

import redwingcross.request.Transition
import redwingcross.request.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a read found: the version, and the nonce of the value if it has one. */
data class Found(val version: RecordVersion, val nonce: Nonce?)

/** Answers of the store to the calls of a [ReadBack]. */
sealed interface ReadBackEvent {
    data class Written(val version: RecordVersion) : ReadBackEvent

    /** The object was not at the expected version. */
    data object Conflict : ReadBackEvent

    /** The write had no effect and never will. */
    data class NotSent(val detail: String) : ReadBackEvent

    /** The write may have taken effect, or may do so later. */
    data class Lost(val detail: String) : ReadBackEvent

    /** The answer to a read; null when the object is absent. */
    data class Read(val found: Found?) : ReadBackEvent

    data class Unread(val detail: String) : ReadBackEvent

    /** The time asked for with [ReadBackEffect.Wait] has passed. */
    data object Woken : ReadBackEvent
}

/** The one call that a [ReadBack] needs next. */
sealed interface ReadBackEffect {
    /** Carries out the write, the same one each time. */
    data object Write : ReadBackEffect

    data object Read : ReadBackEffect

    data class Wait(val duration: Duration) : ReadBackEffect

    data class Finish(val result: ReadBackResult) : ReadBackEffect
}

/** What is known about a conditional write in the end. */
sealed interface ReadBackResult {
    /** The write took effect and nothing had replaced it when this was seen. */
    data class Confirmed(val version: RecordVersion) : ReadBackResult

    /** The object had another value; [found] is null if it is absent or was not read. */
    data class Conflict(val found: Found?) : ReadBackResult

    /** The deadline passed, and no write can have taken effect. */
    data class NoEffect(val detail: String) : ReadBackResult

    /** The deadline passed, and a write may have taken effect or may do so later. */
    data class Unknown(val detail: String) : ReadBackResult
}

/**
 * One conditional write whose answers may be lost: it reads back until it knows whether the value with [nonce] is in
 * effect, and repeats the same write when it is not. Start it by carrying out [ReadBackEffect.Write].
 *
 * Repeating is safe because every try has the same value and the same condition, so at most one takes effect.
 */
data class ReadBack(
    val nonce: Nonce,
    /** Version that the write requires; null requires that the object is absent. */
    val expected: RecordVersion?,
    /** No further call is made at or after this time. */
    val deadline: Duration,
    /** A write was sent whose effect is not known. */
    val mayHaveEffect: Boolean = false,
    private val refused: Boolean = false,
    private val failures: Int = 0,
    private val afterWait: ReadBackEffect = ReadBackEffect.Write,
) {
    /** The next call after [event]. */
    fun next(event: ReadBackEvent, now: Duration): Transition<ReadBack, ReadBackEffect> = when (event) {
        is ReadBackEvent.Written -> finish(ReadBackResult.Confirmed(event.version))
        ReadBackEvent.Conflict -> onConflict(now)
        is ReadBackEvent.NotSent -> retry(ReadBackEffect.Write, event.detail, now)
        is ReadBackEvent.Lost -> copy(mayHaveEffect = true).proceed(ReadBackEffect.Read, event.detail, now)
        is ReadBackEvent.Unread -> retry(ReadBackEffect.Read, event.detail, now)
        is ReadBackEvent.Read -> onRead(event.found, now)
        ReadBackEvent.Woken -> proceed(afterWait, "deadline passed", now)
    }

    /** After a lost answer, a conflict may be caused by this write itself, so only a read can tell. */
    private fun onConflict(now: Duration) = if (mayHaveEffect) {
        copy(refused = true).proceed(ReadBackEffect.Read, "conflict after a lost answer", now)
    } else {
        finish(ReadBackResult.Conflict(null))
    }

    private fun onRead(found: Found?, now: Duration) = when {
        found != null && found.nonce == nonce -> finish(ReadBackResult.Confirmed(found.version))

        found != null && (expected == null || found.version.value > expected.value) ->
            finish(ReadBackResult.Conflict(found))

        found == null && expected != null && refused -> finish(ReadBackResult.Conflict(null))

        // Not in effect yet, or a stale read. The same write tells: it takes effect or conflicts.
        else -> retry(ReadBackEffect.Write, "not in effect", now)
    }

    private fun retry(call: ReadBackEffect, detail: String, now: Duration): Transition<ReadBack, ReadBackEffect> {
        val wait = FIRST_WAIT * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))
        return when {
            now + wait >= deadline -> finish(expired(detail))
            else -> copy(failures = failures + 1, afterWait = call).with(ReadBackEffect.Wait(wait))
        }
    }

    private fun proceed(call: ReadBackEffect, detail: String, now: Duration) =
        if (now >= deadline) finish(expired(detail)) else with(call)

    private fun expired(detail: String) =
        if (mayHaveEffect) ReadBackResult.Unknown(detail) else ReadBackResult.NoEffect(detail)

    private fun finish(result: ReadBackResult): Transition<ReadBack, ReadBackEffect> =
        with(ReadBackEffect.Finish(result))

    private companion object {
        val FIRST_WAIT = 25.milliseconds

        /** Waits reach 400 ms, so a failing platform gets at most about 3 calls a second from each write. */
        const val MAX_DOUBLINGS = 4
    }
}
