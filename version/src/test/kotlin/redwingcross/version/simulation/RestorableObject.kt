package redwingcross.version.simulation

import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Answer of a [RestorableObject] to a read or write. */
internal sealed interface RestorableAnswer<out T> {
    data class Found<T>(val era: StoreEra, val value: Pair<StorePosition, T>?) : RestorableAnswer<T>

    data class Written(val position: StorePosition) : RestorableAnswer<Nothing>

    data object Conflict : RestorableAnswer<Nothing>

    data object Failed : RestorableAnswer<Nothing>

    data object Unknown : RestorableAnswer<Nothing>
}

/**
 * Simulates one object of a store that comes back from an older copy of its data: the era rises, the latest versions
 * are gone, and their revisions are given out again. A write is conditional on the revision alone, as in the
 * platform's store, so one that was sent in an earlier era may meet another value of the same revision.
 */
internal class RestorableObject<T : Any>(
    private val time: VirtualTime,
    /** Called with the value that a write of a process that knows only an earlier era replaces. */
    private val onLateWrite: (T) -> Unit = {},
) {
    private val history = mutableListOf<Pair<StoreRevision, T>>()
    var era = StoreEra.FIRST
        private set

    /** Delay of each request and each answer. */
    var delay: Duration = 10.milliseconds

    /** End of the current outage, during which requests fail without effect. */
    var downUntil: Duration = Duration.ZERO

    /** Fates of the next writes, whose answers are lost. */
    val lostWrites = ArrayDeque<LostWrite>()

    /** Number of next reads that return the previous version. */
    var staleReads = 0

    /** The versions of the current era's history with their values, oldest first. */
    val versions: List<Pair<StoreRevision, T>> get() = history

    /** Comes back without the latest [lost] versions. */
    fun restore(lost: Int) {
        repeat(minOf(lost, history.size)) { history.removeLast() }
        era = StoreEra(era.value + 1)
    }

    fun read(answer: (RestorableAnswer<T>) -> Unit) = time.after(delay) {
        if (time.now < downUntil) {
            time.after(delay) { answer(RestorableAnswer.Failed) }
        } else {
            val isStale = staleReads > 0
            if (isStale) staleReads -= 1
            val found = if (isStale) history.dropLast(1).lastOrNull() else history.lastOrNull()
            val result = RestorableAnswer.Found(era, found?.let { StorePosition(era, it.first) to it.second })
            time.after(delay) { answer(result) }
        }
    }

    /** Writes [value] for a process that knows the era [sentIn] if the object is at [expected], or absent if null. */
    fun write(sentIn: StoreEra, expected: StoreRevision?, value: T, answer: (RestorableAnswer<T>) -> Unit) {
        when (lostWrites.removeFirstOrNull()) {
            null -> time.after(delay) {
                apply(sentIn, expected, value).let { end -> time.after(delay) { answer(end) } }
            }
            LostWrite.TAKES_EFFECT -> {
                time.after(delay) { apply(sentIn, expected, value) }
                time.after(delay * 2) { answer(RestorableAnswer.Unknown) }
            }
            LostWrite.TAKES_EFFECT_LATER -> {
                time.after(delay) { answer(RestorableAnswer.Unknown) }
                time.after(delay * 2 + 2500.milliseconds) { apply(sentIn, expected, value) }
            }
            LostWrite.NEVER_ARRIVES -> time.after(delay) { answer(RestorableAnswer.Unknown) }
        }
    }

    private fun apply(sentIn: StoreEra, expected: StoreRevision?, value: T): RestorableAnswer<T> = when {
        time.now < downUntil -> RestorableAnswer.Failed
        history.lastOrNull()?.first != expected -> RestorableAnswer.Conflict
        history.lastOrNull()?.second == value -> RestorableAnswer.Written(StorePosition(era, history.last().first))
        else -> {
            if (sentIn < era) history.lastOrNull()?.let { onLateWrite(it.second) }
            val revision = StoreRevision((expected?.value ?: 0) + 1)
            history += revision to value
            RestorableAnswer.Written(StorePosition(era, revision))
        }
    }
}
