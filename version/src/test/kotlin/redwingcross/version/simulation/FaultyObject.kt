package redwingcross.version.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of a write, as the writer receives it. */
internal sealed interface WriteOutcome {
    data class Written(val version: Long) : WriteOutcome

    data object Conflict : WriteOutcome

    data object NoEffect : WriteOutcome

    data object Unknown : WriteOutcome
}

/** What happens to a write whose answer is lost. */
internal enum class LostWrite { TAKES_EFFECT, TAKES_EFFECT_LATER, NEVER_ARRIVES }

/** Simulates one object of the platform with conditional writes, delays, outages, lost answers and stale reads. */
internal class FaultyObject<T : Any>(private val time: VirtualTime) {
    private val history = mutableListOf<Pair<Long, T>>()

    /** Delay of each request and each answer. */
    var delay: Duration = 10.milliseconds

    /** End of the current outage, during which requests fail without effect. */
    var downUntil: Duration = Duration.ZERO

    /** Fates of the next writes, whose answers are lost. */
    val lostWrites = ArrayDeque<LostWrite>()

    /** Number of next reads that return the previous version. */
    var staleReads = 0

    /** All versions written so far with their values, oldest first. */
    val versions: List<Pair<Long, T>> get() = history

    /** Calls [answer] with the version and value, or null if the object is absent; calls [failed] during an outage. */
    fun read(answer: (Pair<Long, T>?) -> Unit, failed: () -> Unit) = time.after(delay) {
        if (time.now < downUntil) {
            time.after(delay, failed)
        } else {
            val isStale = staleReads > 0
            if (isStale) staleReads -= 1
            val found = if (isStale) history.dropLast(1).lastOrNull() else history.lastOrNull()
            time.after(delay) { answer(found) }
        }
    }

    /** Writes [value] if the object is at version [expected], or absent if that is null. */
    fun write(expected: Long?, value: T, answer: (WriteOutcome) -> Unit) {
        when (lostWrites.removeFirstOrNull()) {
            null -> time.after(delay) { apply(expected, value).let { end -> time.after(delay) { answer(end) } } }
            LostWrite.TAKES_EFFECT -> {
                time.after(delay) { apply(expected, value) }
                time.after(delay * 2) { answer(WriteOutcome.Unknown) }
            }
            LostWrite.TAKES_EFFECT_LATER -> {
                time.after(delay) { answer(WriteOutcome.Unknown) }
                time.after(delay * 2 + 2500.milliseconds) { apply(expected, value) }
            }
            LostWrite.NEVER_ARRIVES -> time.after(delay) { answer(WriteOutcome.Unknown) }
        }
    }

    private fun apply(expected: Long?, value: T): WriteOutcome = when {
        time.now < downUntil -> WriteOutcome.NoEffect
        history.lastOrNull()?.first != expected -> WriteOutcome.Conflict
        // As in the platform's store, a write that changes nothing makes no new version.
        history.lastOrNull()?.second == value -> WriteOutcome.Written(history.last().first)
        else -> {
            val version = (expected ?: 0) + 1
            history += version to value
            WriteOutcome.Written(version)
        }
    }
}
