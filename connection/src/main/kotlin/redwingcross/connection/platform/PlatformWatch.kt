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

    /** The platform no longer has all changes since the requested version. */
    data object Gap : PollResult

    data class Failed(val detail: String) : PollResult
}

/** Lists the kind if the version is null, otherwise waits for changes after that version. */
internal typealias Poll = suspend (KindVersion?, Duration) -> PollResult

/** Watches one kind by long polls. After any failure it lists the kind again, because changes may have been missed. */
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
            val startedAt = clock.now()
            val waiting = wait().coerceAtLeast(MIN_WAIT)
            position = emitNext(position, poll(position.since, waiting))
            // Prevents a busy loop if the platform answers at once although nothing changed.
            if (position.isIdle && clock.now() - startedAt < MIN_POLL_INTERVAL) delay(MIN_POLL_INTERVAL)
        }
    }

    private suspend fun FlowCollector<WatchEvent>.emitNext(position: WatchPosition, result: PollResult): WatchPosition =
        when (result) {
            PollResult.Unchanged -> {
                emit(WatchEvent.Unchanged)
                position.copy(failures = 0, isIdle = true)
            }

            PollResult.Gap -> emitFailure(
                position,
                "$kind: the platform no longer has the changes since version ${position.since?.value}",
            )

            is PollResult.Failed -> emitFailure(position, result.detail)

            is PollResult.Listed -> when {
                isStale(position, result.kind.version) ->
                    emitFailure(position.copy(staleReads = position.staleReads + 1), "$kind: stale response")

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
     * A response with a version below the newest received one is a stale read. After [MAX_STALE_READS] stale reads the
     * version is accepted, because the platform may have been replaced by an empty one.
     */
    private fun isStale(position: WatchPosition, version: KindVersion): Boolean =
        version.value < position.newest.value && position.staleReads < MAX_STALE_READS

    private suspend fun FlowCollector<WatchEvent>.emitFailure(position: WatchPosition, detail: String): WatchPosition {
        emit(WatchEvent.Unavailable(detail))
        val backoff = (MIN_BACKOFF * (1 shl position.failures.coerceAtMost(MAX_DOUBLINGS)))
        // Jitter of up to a half prevents all nodes of the fleet from listing a kind at the same time after an outage.
        delay(backoff * (1 - random.nextDouble() / 2))
        return position.copy(since = null, failures = position.failures + 1, isIdle = false)
    }

    private companion object {
        const val MAX_STALE_READS = 3
        const val MAX_DOUBLINGS = 4
        val MIN_WAIT = 1.seconds
        val MIN_POLL_INTERVAL = 100.milliseconds
        val MIN_BACKOFF = 100.milliseconds
    }
}

private data class WatchPosition(
    val since: KindVersion? = null,
    val newest: KindVersion = KindVersion(0),
    val failures: Int = 0,
    val staleReads: Int = 0,
    val isIdle: Boolean = false,
)

private fun ListedObject.toEvent(): WatchEvent = stored()?.let { WatchEvent.Changed(it) } ?: WatchEvent.Deleted(key)
