package redwingcross.version.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How the platform answers a write. */
internal sealed interface WriteEnd {
    data class Written(val version: Long) : WriteEnd

    data object Conflict : WriteEnd

    data object NoEffect : WriteEnd

    data object Unknown : WriteEnd
}

/** What happens to a write whose answer is lost. */
internal enum class LostWrite { TAKES_EFFECT, TAKES_EFFECT_LATER, NEVER_ARRIVES }

/** One object of the platform with conditional writes, delays, outages, lost answers and stale reads. */
internal class FaultyObject<T : Any>(private val time: VirtualTime) {
    private val history = mutableListOf<Pair<Long, T>>()
    var delay: Duration = 10.milliseconds
    var downUntil: Duration = Duration.ZERO
    val lostWrites = ArrayDeque<LostWrite>()
    var staleReads = 0

    val versions: List<Pair<Long, T>> get() = history

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

    fun write(expected: Long?, value: T, answer: (WriteEnd) -> Unit) {
        when (lostWrites.removeFirstOrNull()) {
            null -> time.after(delay) { apply(expected, value).let { end -> time.after(delay) { answer(end) } } }
            LostWrite.TAKES_EFFECT -> {
                time.after(delay) { apply(expected, value) }
                time.after(delay * 2) { answer(WriteEnd.Unknown) }
            }
            LostWrite.TAKES_EFFECT_LATER -> {
                time.after(delay) { answer(WriteEnd.Unknown) }
                time.after(delay * 2 + 2500.milliseconds) { apply(expected, value) }
            }
            LostWrite.NEVER_ARRIVES -> time.after(delay) { answer(WriteEnd.Unknown) }
        }
    }

    private fun apply(expected: Long?, value: T): WriteEnd = when {
        time.now < downUntil -> WriteEnd.NoEffect
        history.lastOrNull()?.first != expected -> WriteEnd.Conflict
        else -> {
            val version = (expected ?: 0) + 1
            history += version to value
            WriteEnd.Written(version)
        }
    }
}
