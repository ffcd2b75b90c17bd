package redwingcross.connection.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import redwingcross.request.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of one list or long poll. */
internal sealed interface PollResult {
    class Listed(val kind: ListedKind) : PollResult

    data object Unchanged : PollResult

    /** The platform no longer knows every change since the version asked for. */
    data object Gap : PollResult

    data class Failed(val detail: String) : PollResult
}

/** Lists the kind if the version is null, otherwise waits for changes after it. */
internal typealias Poll = suspend (KindVersion?, Duration) -> PollResult

/** Follows one kind. After any failure it lists the kind again, because changes may have been missed. */
internal class PlatformWatch(
    private val kind: ObjectKind,
    private val wait: () -> Duration,
    private val clock: MonotonicClock,
    private val random: Random = Random.Default,
    private val poll: Poll,
) {
    fun events(): Flow<WatchEvent> = flow {
        var position = WatchPosition()
        while (true) {
            val asked = clock.now()
            val waiting = wait().coerceAtLeast(MIN_WAIT)
            position = emitNext(position, poll(position.since, waiting))
            // A platform that answers at once without any change must not turn the watch into a busy loop.
            if (position.isIdle && clock.now() - asked < MIN_IDLE) delay(MIN_IDLE)
        }
    }

    private suspend fun FlowCollector<WatchEvent>.emitNext(position: WatchPosition, result: PollResult): WatchPosition =
        when (result) {
            PollResult.Unchanged -> {
                emit(WatchEvent.Unchanged)
                position.copy(failures = 0, isIdle = true)
            }

            PollResult.Gap -> fail(position, "$kind: changes since ${position.since?.value} are no longer known")

            is PollResult.Failed -> fail(position, result.detail)

            is PollResult.Listed -> when {
                isStale(position, result.kind.version) ->
                    fail(position.copy(staleAnswers = position.staleAnswers + 1), "$kind: stale answer")

                position.since == null -> {
                    emit(WatchEvent.Snapshot(result.kind.objects.mapNotNull { it.stored() }))
                    WatchPosition(result.kind.version, result.kind.version)
                }

                else -> {
                    result.kind.objects.forEach { emit(it.toEvent()) }
                    if (result.kind.objects.isEmpty()) emit(WatchEvent.Unchanged)
                    WatchPosition(result.kind.version, result.kind.version, isIdle = result.kind.objects.isEmpty())
                }
            }
        }

    /**
     * An answer older than one already seen is a stale read. After [MAX_STALE] of them it is believed, because the
     * platform may have been replaced by an empty one.
     */
    private fun isStale(position: WatchPosition, version: KindVersion): Boolean =
        version.value < position.newest.value && position.staleAnswers < MAX_STALE

    private suspend fun FlowCollector<WatchEvent>.fail(position: WatchPosition, detail: String): WatchPosition {
        emit(WatchEvent.Unavailable(detail))
        val pause = (MIN_PAUSE * (1 shl position.failures.coerceAtMost(MAX_DOUBLINGS)))
        // Jitter of up to a half keeps the nodes of the fleet from listing a kind at the same moment after an outage.
        delay(pause * (1 - random.nextDouble() / 2))
        return position.copy(since = null, failures = position.failures + 1, isIdle = false)
    }

    private companion object {
        const val MAX_STALE = 3
        const val MAX_DOUBLINGS = 4
        val MIN_WAIT = 1.seconds
        val MIN_IDLE = 100.milliseconds
        val MIN_PAUSE = 100.milliseconds
    }
}

private data class WatchPosition(
    val since: KindVersion? = null,
    val newest: KindVersion = KindVersion(0),
    val failures: Int = 0,
    val staleAnswers: Int = 0,
    val isIdle: Boolean = false,
)

private fun ListedObject.toEvent(): WatchEvent = stored()?.let { WatchEvent.Changed(it) } ?: WatchEvent.Deleted(key)
